package pool

import (
	"slices"
	"time"
)

// HasUnservedWaiters reports whether more tickets wait than connections are being opened.
func (s *Server[T]) HasUnservedWaiters() bool { return len(s.waiting) > s.opening }

// WaitTimeout is how long a ticket waits for a connection in use before OpenForWaiters should be called.
func (s *Server[T]) WaitTimeout() time.Duration { return s.demand.newConnCost() / 2 }

// OpenForWaiters opens connections for the tickets that wait for connections in use, which are late and
// may never come back.
func (p *Pool[T]) OpenForWaiters(now time.Duration, s *Server[T]) {
	for len(s.waiting) > s.opening && p.open(now, s, s.waiting[s.opening]) {
	}
}

// resolveStranded opens a connection for, or refuses, tickets that wait for connections in use once none
// is in use any more.
func (p *Pool[T]) resolveStranded(now time.Duration, s *Server[T]) {
	for len(s.waiting) > s.opening && s.inUse() <= 0 {
		t := s.waiting[s.opening]
		if p.open(now, s, t) {
			continue
		}
		s.waiting = slices.Delete(s.waiting, s.opening, s.opening+1)
		p.emit(Action[T]{Kind: Refuse, Ticket: t})
	}
}

// CancelWait removes a ticket that no longer waits for a connection.
func (p *Pool[T]) CancelWait(s *Server[T], t T) {
	s.waiting = slices.DeleteFunc(s.waiting, func(other T) bool { return other == t })
}

// takeWaiting removes and returns the ticket that has waited longest.
func (s *Server[T]) takeWaiting() T {
	var none T
	t := s.waiting[0]
	s.waiting[0] = none // the slice's array must not keep it
	s.waiting = s.waiting[1:]
	return t
}
