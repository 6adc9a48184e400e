package lilacglade

// Timers, and what the list of servers tells.

import (
	"math"
	"slices"
	"time"
)

func (b *Balancer) wake(token uint32) {
	switch {
	case token == tickToken:
		b.timer(tick, tickToken)
		b.tally()
		if b.now >= b.refresh {
			b.reshape()
		}
	case token == listToken:
		b.asking = true
		b.acts = append(b.acts, Action{Do: Subscribe})
	default:
		if r := b.requests[b.held[token]]; r != nil && !r.answered && r.out == 0 {
			b.estimate(r)
			b.dispatch(r)
		}
		delete(b.held, token)
	}
}

func (b *Balancer) list(ev List) {
	if ev.Kind == ListFailed {
		if b.listWait == 0 {
			b.logf("the list is out of reach")
		}
		all := time.Duration(b.set.Balancers) * listEvery
		first := max(interval/4, min(all, max(b.set.AskEvery, all/5)))
		if b.set.AskEvery > 0 { // what is not asked for in four times that after a failure counts as told
			all = min(all, 5*b.set.AskEvery/2) // and half as much again is waited at the most
		}
		b.listWait = min(max(first, 2*b.listWait), max(interval, b.set.AskEvery, all))
		if len(b.order) == 0 { // nobody is served meanwhile, and those who are can wait
			b.listWait = min(first, max(interval, b.set.AskEvery)/2)
		}
		b.timer(b.listWait/2+b.jitter(b.listWait), listToken)
		return
	}
	b.listWait = 0
	seen := map[ServerID]bool{}
	for _, l := range ev.Servers {
		seen[l.ID] = true
		s := b.servers[l.ID]
		if l.State == Gone {
			if s != nil {
				b.drop(s)
			}
			continue
		}
		if s == nil {
			s = b.enlist(l.ID)
		}
		if l.Started != s.Started {
			// A process that has just started is cold: its budget starts empty, in debt by
			// a part of a request that differs between proxies, so they do not all send one.
			s.reported, s.aside, s.doubt, s.wait = false, false, 0, 0
			s.load, s.pace, s.bound = load{out: s.load.out}, pace{}, bound{}
			clear(s.classes)
			s.purse = -b.uniform() * b.works[0].y
		}
		if s.Server = l; !(l.Weight > 0 && l.Weight < math.MaxFloat32) {
			s.Weight = 1
		}
	}
	if ev.Kind != Changes {
		for _, s := range slices.Clone(b.order) {
			if !seen[s.ID] {
				b.drop(s)
			}
		}
	}
	b.tally()
	b.reshape()
}
