package lilacglade

// This file derives the health and the speed of servers from the ends of attempts.

import "math"

// updateHealth ejects s when its failures are sufficient evidence, and readmits it when its answers
// are.
func (b *Balancer) updateHealth(s *server, r *request, ev Outcome) {
	health, sentAt := &s.classHealth[r.Class], b.now-ev.Latency
	switch ev.Result {
	case OK:
		s.lastSuccess, health.lastSuccess = b.now, b.now
		health.failures, health.backoff = health.failures/2, health.backoff/2
		if b.addEvidence(s, false, 0); s.ejected {
			// The backoff is only halved, so that a server that answers now and then is not probed
			// often.
			if s.probationBackoff, s.probationAt = s.probationBackoff/2,
				b.now; s.failureEvidence < ejectionEvidence {
				s.ejected = false
				b.setCapacity(s, b.effectiveCapacity(s))
				b.logServer(s, "readmitted")
			}
		}
	case ServerError, TimedOut, ConnectFailed, Reset, Full:
		if s.State != Ready {
			return // it gets no new requests, and this is no failure
		}
		// Track failures per class: a server that fails, rejects or never answers one class would
		// otherwise look healthy because it answers the others.
		if ev.Result == Full || ev.Result == ServerError || ev.Result == TimedOut && health.lastSuccess < sentAt {
			health.failures++
			health.backoff = min(max(minBackoff, 2*health.backoff), maxBackoff)
			health.blockedUntil = b.now + health.backoff/2 + b.jitter(health.backoff/2)
		}
		// A timeout at a server that has answered since is no evidence of a loss: the server is
		// only slow. A server that rejects is alive. Otherwise small queues get a whole fleet
		// ejected.
		if ev.Result == Full || ev.Result == TimedOut && s.lastSuccess >= sentAt {
			return
		}
		// Attempts that time out bring no load report, so raise the load estimate: otherwise the
		// load of a jammed fleet is judged by the few servers that still answer. The estimate is
		// not raised for a server that has never reported, at most doubled, and not raised above
		// the load that explains the timeout. These guesses are part of the fleet's mean, which is
		// part of the next guess.
		if inFlight := b.inFlightAtLatency(s, ev.Latency.Seconds()/r.work); ev.Result == TimedOut && s.hasReport {
			s.load.addOthers(max(0, min(b.inFlight(s), inFlight-b.inFlight(s))))
		}
		// By Markov's inequality, at most this fraction of a healthy server's answers takes longer.
		probability := 0.0
		if ev.Result == TimedOut {
			probability = b.relativeLatency(s, b.inFlight(s)) * r.work / ev.Latency.Seconds()
		}
		b.addEvidence(s, true, probability)
		if s.failureEvidence < ejectionEvidence ||
			!s.ejected && (3*b.ejectedCount() > len(b.sortedServers) || len(b.sortedServers) == 1) {
			return // with a third of the fleet ejected, the cause is overload
		}
		// Give up the ranges of a server that was lost without notice at once. The more proxies
		// send to it, the longer each waits, so that they do not all retry it together.
		if s.probationBackoff = min(max(minBackoff, b.sharingProxies()*probationSpacing, 2*s.probationBackoff),
			maxBackoff); !s.ejected {
			if s.ejected = true; b.usesSubset() {
				b.nextRefresh = b.now // reselect the subset at the next tick
			}
			b.logServer(s, "ejected: last result %s, failure evidence %.1f", ev.Result, s.failureEvidence)
			b.setCapacity(s, 0)
		}
		s.probationAt = b.now + s.probationBackoff/2 + b.jitter(s.probationBackoff/2)
	}
}

// updateEstimates updates, with an answer, the work estimate of its class, the mean load at
// sending, and the server's speed: the part of the latency that the fleet's usual error does not
// explain.
func (b *Balancer) updateEstimates(s *server, r *request, sentLoad float64, seconds float64) {
	if b.warmUpFraction(s) < 1 {
		return
	}
	logError := max(-2, min(2, math.Log(seconds/r.work/b.expectedRelativeLatency(s, sentLoad*s.Weight))))
	s.speed = max(0.1, min(10, s.speed*math.Exp(-speedGain*(logError-b.latencyBias))))
	factor := math.Exp(-kindSpeedGain * (logError - b.latencyBias))
	for _, o := range b.sortedServers {
		if o.Kind == s.Kind {
			o.speed = max(0.1, min(10, o.speed*factor))
		}
	}
	b.latencyBias += (logError - b.latencyBias) * regressionGain
	b.workEstimators[r.Class].add(r.Cost.Seconds(), seconds, regressionGain)
	b.meanSentLoad += (sentLoad - b.meanSentLoad) * max(regressionGain, 1/b.workEstimators[r.Class].samples)
}
