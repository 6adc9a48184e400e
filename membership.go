package lilacglade

// This file handles timers and the server list.

import (
	"math"
	"slices"
	"time"
)

// handleTimer runs the periodic updates, asks for the list, or checks a held request again.
func (b *Balancer) handleTimer(token uint32) {
	switch {
	case token == tickToken:
		b.setTimer(tickInterval, tickToken)
		b.updateMeans()
		if b.now >= b.nextRefresh {
			b.refreshCapacities()
		}
	case token == listToken:
		b.listRequested = true
		b.actions = append(b.actions, Action{Do: Subscribe})
	default:
		if r := b.requests[b.heldByToken[token]]; r != nil && !r.answered && r.outstanding == 0 {
			b.estimateWork(r)
			b.dispatch(r)
		}
		delete(b.heldByToken, token)
	}
}

// handleList updates the servers from a list, or schedules the next call if the last one failed.
func (b *Balancer) handleList(ev List) {
	if ev.Kind == ListFailed {
		if b.listBackoff == 0 {
			b.logf("the list is out of reach")
		}
		fleetWait := time.Duration(b.settings.Balancers) * listRetrySpacing
		firstWait := max(refreshInterval/4, min(fleetWait, max(b.settings.AskEvery, fleetWait/5)))
		// Changes that are not asked for within 4 * AskEvery after a failure count as notified, and a
		// wait is up to 1.5 times listBackoff.
		if b.settings.AskEvery > 0 {
			fleetWait = min(fleetWait, 5*b.settings.AskEvery/2)
		}
		b.listBackoff = min(max(firstWait, 2*b.listBackoff), max(refreshInterval, b.settings.AskEvery, fleetWait))
		if len(b.sortedServers) == 0 { // no request can be served meanwhile, so retry sooner
			b.listBackoff = min(firstWait, max(refreshInterval, b.settings.AskEvery)/2)
		}
		b.setTimer(b.listBackoff/2+b.jitter(b.listBackoff), listToken)
		return
	}
	b.listBackoff = 0
	seen := map[ServerID]bool{}
	for _, listed := range ev.Servers {
		seen[listed.ID] = true
		s := b.servers[listed.ID]
		if listed.State == Gone {
			if s != nil {
				b.removeServer(s)
			}
			continue
		}
		if s == nil {
			s = b.addServer(listed.ID)
		}
		if listed.Started != s.Started {
			// A process that has just started is in slow start. Its budget starts at a negative
			// fraction of a request that differs between proxies, so that they do not all send one
			// at once.
			s.hasReport, s.ejected, s.failureEvidence, s.probationBackoff = false, false, 0, 0
			s.load, s.latency, s.concurrencyLimit = loadEstimator{ownInFlight: s.load.ownInFlight,
				arriving: s.load.arriving}, latencyEstimator{}, concurrencyLimit{}
			clear(s.classHealth)
			s.slowStartBudget = -b.uniform() * b.workEstimators[0].meanY
		}
		if s.Server = listed; !(listed.Weight > 0 && listed.Weight < math.MaxFloat32) {
			s.Weight = 1
		}
	}
	if ev.Kind != Changes {
		for _, s := range slices.Clone(b.sortedServers) {
			if !seen[s.ID] {
				b.removeServer(s)
			}
		}
	}
	b.updateMeans()
	b.refreshCapacities()
}
