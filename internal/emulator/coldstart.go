package emulator

import (
	"fmt"
	"time"
)

// offer is work that reached a cold server.
type offer struct {
	at   time.Duration
	work float64
	told bool // by a proxy that had been told of the start
}

// unforeseen is the multiple of its class's mean work up to which a request counts against a cold
// server: that one costs far more than others is known to nobody before it has run, and a rule that
// nobody can keep would be none.
const unforeseen = 4

// offer counts work that reaches a cold server, which may push it over.
func (s *Server) offer(h *Hop, work float64) {
	c := &s.w.sc.Servers.Cold
	if s.warmth() >= 1 || c.Multiple <= 0 {
		return
	}
	now := s.w.Clock.Now()
	s.offers = append(s.offers, offer{now, work, s.w.judge.toldStart(h.Proxy, s)})
	s.offered += work
	for len(s.offers) > 0 && s.offers[0].at <= now-c.Window {
		s.offered -= s.offers[0].work
		s.offers = s.offers[1:]
	}
	can := s.Speed * s.Cores * s.warmth() * c.Window.Seconds()
	if s.offered <= c.Multiple*can+c.Slack*s.w.meanWork {
		return
	}
	told := 0.0
	for _, o := range s.offers {
		if o.told {
			told += o.work
		}
	}
	s.w.note("%s is pushed over: %.2f s of work offered within %v, %.2f s can be done", s.Name, s.offered,
		c.Window, can)
	s.w.result.Tipped++
	if told >= s.offered*2/3 {
		s.w.judge.breaks(RuleCold, nil, h.Proxy, fmt.Sprintf("%s pushed over", s.Name))
	}
	s.tipped = true
	s.crash()
}
