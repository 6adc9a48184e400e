package emulator

import "fmt"

// crash ends the process: connections break, and work is lost.
func (s *Server) crash() {
	if !s.up {
		return
	}
	s.stop()
	s.w.discovery.noticeAfter(s)
}

// stop ends the process without a word to discovery.
func (s *Server) stop() {
	s.set(func() {
		s.up = false
		for _, j := range s.working {
			j.place = -1
			if j.attempt != nil {
				j.attempt.doneWork = 0
			}
		}
		s.working, s.waiting, s.stuck = nil, nil, nil
	})
	epoch := s.epoch
	s.epoch++
	s.conns = 0
	s.crowded, s.crowdedAt, s.idleFrom = false, -1, -1
	clear(s.keys)
	s.keyRing, s.keyAt = s.keyRing[:0], 0
	s.latency, s.report = 0, Report{}
	s.offers, s.offered = nil, 0
	for _, h := range s.w.hopsOf(s, epoch) {
		h.atServer = false
		h.cur, h.hand, h.queued = nil, nil, nil
		if s.cut == 0 {
			s.w.back(h, func() { s.w.reset(h) })
		}
	}
	s.reach()
}

// start begins a new process, which is cold.
func (s *Server) start() {
	if s.up || s.tipped {
		return
	}
	s.set(func() {
		s.up, s.draining, s.fresh, s.started = true, false, true, s.w.Clock.Now()
	})
	s.reach()
	s.w.discovery.started(s)
}

// drain has discovery list the server as draining; it takes nothing new from then on.
func (s *Server) drain() {
	if !s.up || s.draining {
		return
	}
	s.w.discovery.change(s, Draining, func() { s.draining = s.up })
}

// leave ends the process for good; under a new name if it is to be replaced.
func (s *Server) leave(renamed bool) {
	if s.up {
		s.stop()
	}
	s.w.discovery.change(s, Gone, nil)
	if renamed {
		s.life++
		s.Name = fmt.Sprintf("s-%d.%d", s.Index, s.life)
	}
}

// back ends a cut. What was under way arrives now; after a hard cut the machine knows of nothing.
func (s *Server) back(hard bool) {
	s.cut--
	if s.cut > 0 {
		return
	}
	if hard && s.up {
		s.cut++
		s.stop()
		s.cut--
		s.start()
	}
	s.reach()
	held := s.held
	s.held = nil
	for _, do := range held {
		do()
	}
}
