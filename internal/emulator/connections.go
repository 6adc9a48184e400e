package emulator

import "slices"

// reach tells the driver what new connections meet.
func (s *Server) reach() {
	r := Open
	switch {
	case s.cut > 0:
		r = Silent
	case !s.up || s.refuses > 0:
		r = Refused
	}
	s.w.driver.Reach(s, r)
}

// open takes in a connection that has crossed the network.
func (s *Server) open(h *Hop) {
	switch {
	case s.cut > 0:
		s.held = append(s.held, func() { s.open(h) })
		return
	case !s.up || s.refuses > 0:
		s.w.back(h, func() { s.w.accepted(h, false) })
		return
	}
	h.epoch, h.atServer, h.last = s.epoch, true, s.w.Clock.Now()
	s.conns++
	s.Stats.Openings++
	s.Stats.MostConns = max(s.Stats.MostConns, s.conns)
	s.w.result.openings(s.conns)
	u := s.w.chance(uint64(s.Index), h.ID, 1)
	work := s.w.sc.Servers.Handshake.at(u).Seconds()
	s.offer(h, work)
	if !s.up {
		return
	}
	if s.conns > s.w.sc.Servers.Connections {
		h.over = true
	}
	if work > 0 {
		s.w.jobs++
		h.hand = &job{hop: h, work: work, order: s.w.jobs, place: -1}
		s.set(func() {
			h.hand.through = s.v + work
			s.working.push(h.hand)
		})
	}
	s.idleLimit(h)
	s.w.back(h, func() { s.w.accepted(h, true) })
}

// idleLimit has the connection closed once it has been idle for the keep-alive limit.
func (s *Server) idleLimit(h *Hop) {
	s.w.Clock.At(h.last+s.w.sc.Servers.KeepAlive, func() {
		switch {
		case !h.atServer || h.epoch != s.epoch:
		case h.cur != nil:
			h.last = s.w.Clock.Now()
			s.idleLimit(h)
		case s.w.Clock.Now()-h.last >= s.w.sc.Servers.KeepAlive:
			s.leaveHop(h)
			s.w.back(h, func() { s.w.ended(h) })
		default:
			s.idleLimit(h)
		}
	})
}

// leaveHop forgets a connection at the server's side.
func (s *Server) leaveHop(h *Hop) {
	if h.atServer && h.epoch == s.epoch {
		s.conns--
	}
	h.atServer = false
}

// breakHop resets a connection at both ends.
func (s *Server) breakHop(h *Hop) {
	s.leaveHop(h)
	s.w.back(h, func() { s.w.reset(h) })
}

// receive takes in a whole request that has crossed the network.
func (s *Server) receive(h *Hop, a *Attempt) {
	now := s.w.Clock.Now()
	switch {
	case s.cut > 0:
		s.held = append(s.held, func() { s.receive(h, a) })
		return
	case s.idleDrop > 0 && now-h.last > s.idleDrop && h.atServer:
		// What lies between dropped the connection without a word: either it says so now, or
		// nothing comes any more.
		s.leaveHop(h)
		s.w.result.DeadLegs++
		if !s.dropHard {
			s.w.back(h, func() { s.w.reset(h) })
		}
		return
	case !h.atServer || h.epoch != s.epoch || !s.up:
		s.w.back(h, func() { s.w.reset(h) })
		return
	}
	s.arrive(h, a)
}

// arrive takes in a request at a process that can be reached: it waits, hangs, or is turned away.
func (s *Server) arrive(h *Hop, a *Attempt) {
	now := s.w.Clock.Now()
	h.last, a.arrived = now, now
	s.Stats.Attempts++
	work := a.work(s)
	s.offer(h, min(work, unforeseen*s.w.sc.Classes[a.Ask.Call.Class].Work.Seconds()))
	if !s.up {
		return
	}
	j := &job{hop: h, attempt: a, work: work, place: -1}
	s.w.jobs++
	j.order = s.w.jobs
	switch {
	case h.over:
		s.turnAway(h, a, "connections")
		s.leaveHop(h)
		return
	case s.hangs[len(s.hangs)-1] > 0:
		h.cur = j
		s.stuck = append(s.stuck, j)
	case s.draining:
		s.turnAway(h, a, "draining")
		return
	case len(s.waiting) >= s.w.sc.Servers.Room && len(s.waiting) > 0:
		s.turnAway(h, a, "full")
		return
	default:
		h.cur = j
		s.meet(a.Ask.Call.Key)
		if h.hand != nil { // the first request waits until the handshake is through
			h.queued = j
		} else {
			s.set(func() { s.waiting = append(s.waiting, j) })
		}
	}
	s.Stats.MostHeld = max(s.Stats.MostHeld, s.holding())
}

// closed takes in that the proxy has closed a connection.
func (s *Server) closed(h *Hop) {
	if s.cut > 0 {
		s.held = append(s.held, func() { s.closed(h) })
		return
	}
	s.leaveHop(h)
	j := h.cur
	if h.epoch != s.epoch || j == nil {
		return
	}
	if j.place >= 0 || !s.w.sc.Servers.DropsWait {
		j.abandoned = true
		return
	}
	h.cur, h.queued = nil, nil
	s.set(func() {
		s.waiting = slices.DeleteFunc(s.waiting, func(o *job) bool { return o == j })
		s.stuck = slices.DeleteFunc(s.stuck, func(o *job) bool { return o == j })
	})
}

// reply sends an answer with the load report.
func (s *Server) reply(h *Hop, r *Reply) {
	r.Load = s.report
	s.w.back(h, func() { s.w.answer(h, r) })
}

// turnAway answers that the request was not begun.
func (s *Server) turnAway(h *Hop, a *Attempt, why string) {
	s.Stats.TurnedAway++
	s.w.result.turned(why)
	if h.cur != nil && h.cur.attempt == a {
		h.cur = nil
	}
	h.last = s.w.Clock.Now()
	if h.atServer {
		s.reply(h, &Reply{Attempt: a, Kind: NotStarted, Last: h.over})
	}
}
