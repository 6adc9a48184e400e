package emulator

// watchCrowd notes since when too many have waited, and since when hardly any.
func (s *Server) watchCrowd() {
	switch {
	case s.w.sc.Servers.Crowd.Waiting <= 0:
	case s.crowded:
		s.watchIdle()
	default:
		s.watchWaiting()
	}
}

// watchWaiting notes since when too many have waited. Once that has lasted, the server is crowded.
func (s *Server) watchWaiting() {
	c := &s.w.sc.Servers.Crowd
	now := s.w.Clock.Now()
	if float64(len(s.waiting)) <= c.Waiting*s.Cores {
		s.crowdedAt = -1
	} else if s.crowdedAt < 0 {
		s.crowdedAt = now
		s.w.Clock.After(c.After, func() {
			if s.crowdedAt == now && !s.crowded && s.up {
				s.crowd()
			}
		})
	}
}

// watchIdle notes since when a crowded server has hardly anything to do. Once that has lasted, it is crowded
// no longer.
func (s *Server) watchIdle() {
	now := s.w.Clock.Now()
	if float64(len(s.waiting)+len(s.working)) >= s.Cores {
		s.idleFrom = -1
	} else if s.idleFrom < 0 {
		s.idleFrom = now
		s.w.Clock.After(s.w.sc.Servers.Crowd.Idle, func() {
			if s.crowded && s.idleFrom == now {
				s.relax()
			}
		})
	}
}

// crowd makes the server crowded, for a bounded time.
func (s *Server) crowd() {
	s.set(func() { s.crowded, s.crowdFrom, s.idleFrom = true, s.w.Clock.Now(), -1 })
	s.w.note("%s is crowded", s.Name)
	s.w.result.Crowded++
	from := s.crowdFrom
	s.w.Clock.After(s.w.sc.Servers.Crowd.Most, func() {
		if s.crowded && s.crowdFrom == from {
			s.relax()
		}
	})
}

// relax ends that the server is crowded.
func (s *Server) relax() {
	s.set(func() { s.crowded, s.crowdedAt, s.idleFrom = false, -1, -1 })
	s.w.note("%s is no longer crowded", s.Name)
}
