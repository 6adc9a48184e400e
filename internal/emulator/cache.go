package emulator

// meet notes that a key has been here.
func (s *Server) meet(key uint64) {
	size := s.w.sc.Servers.Cache.Keys
	if key == 0 || size <= 0 {
		return
	}
	if _, known := s.keys[key]; !known {
		if len(s.keyRing) < size {
			s.keyRing = append(s.keyRing, key)
		} else {
			delete(s.keys, s.keyRing[s.keyAt])
			s.keyRing[s.keyAt] = key
			s.keyAt = (s.keyAt + 1) % size
		}
	}
	s.keys[key] = s.w.Clock.Now()
}

// knows tells whether it has met a key lately.
func (s *Server) knows(key uint64) bool {
	at, ok := s.keys[key]
	return ok && key != 0 && s.w.Clock.Now()-at <= s.w.sc.Servers.Cache.For
}
