// Package fencing is what a proxy may send to while machines are taken out for work: pure, asked before every
// event. Facts come from the council; that a lease has run out it sees by itself, however late it is asked.
package fencing

import (
	"slices"
	"time"
)

// Mark is a machine to which nothing new may be sent, and the grant that says so.
type Mark[K comparable] struct {
	Machine K
	Grant   uint64
}

// Restrictions are what is known, and until when that is enough.
type Restrictions[K comparable] struct {
	Index      uint64
	Marked     []Mark[K]
	Named      []K
	LeaseUntil time.Duration // 0: no lease yet
	Grace      time.Duration
}

// Fence is the state. New makes one that holds everything: without a lease nothing may be sent.
type Fence[K comparable] struct {
	facts Restrictions[K]
	held  map[K]bool // nil: everything
	lapse bool       // the lease has run out
	cut   bool       // and what was open then is to be cut, or has been
}

// New is a Set before its first lease.
func New[K comparable]() *Fence[K] { return &Fence[K]{} }

// Update takes in facts. What changed is told by the next At.
func (s *Fence[K]) Update(f Restrictions[K]) {
	if f.Index < s.facts.Index {
		return // an older state is never gone back to
	}
	if f.Index > s.facts.Index {
		s.held = nil
	}
	f.LeaseUntil = max(f.LeaseUntil, s.facts.LeaseUntil)
	s.facts = f
}

// Advance is to be asked before each event. Changed says that what Holds tells may differ from before; cut, that
// all that is open at named machines is to be closed: the longest deadline has passed since the lease ran
// out.
func (s *Fence[K]) Advance(now time.Duration) (changed, cut bool) {
	f := &s.facts
	if f.LeaseUntil == 0 {
		return false, false
	}
	lapse := now >= f.LeaseUntil
	if !lapse {
		s.cut = false
	}
	if s.held == nil || lapse != s.lapse {
		s.lapse, changed = lapse, true
		s.held = make(map[K]bool, len(f.Named))
		for _, m := range f.Marked {
			s.held[m.Machine] = true
		}
		if lapse {
			for _, id := range f.Named {
				s.held[id] = true
			}
		}
	}
	if lapse && !s.cut && now-f.LeaseUntil >= f.Grace {
		s.cut, cut = true, true
	}
	return changed, cut
}

// Blocks tells whether nothing new may be sent to a machine.
func (s *Fence[K]) Blocks(id K) bool { return s.held == nil || s.held[id] }

// EverLeased tells whether there ever was a lease.
func (s *Fence[K]) EverLeased() bool { return s.facts.LeaseUntil > 0 }

// Named lists the machines that may go out.
func (s *Fence[K]) Named() []K { return s.facts.Named }

// Index is that of the state that is kept to.
func (s *Fence[K]) Index() uint64 { return s.facts.Index }

// MarkCount counts the machines that are marked.
func (s *Fence[K]) MarkCount() int { return len(s.facts.Marked) }

// LeaseUntil is when the lease ends that a machine may be sent to by, 0 if it needs none.
func (s *Fence[K]) LeaseUntil(id K) time.Duration {
	if !slices.Contains(s.facts.Named, id) {
		return 0
	}
	return s.facts.LeaseUntil
}

// NextDeadline is when At has something to tell at the latest, if nothing is told before; 0: never.
func (s *Fence[K]) NextDeadline() time.Duration {
	switch f := &s.facts; {
	case f.LeaseUntil == 0 || s.cut:
		return 0
	case s.lapse:
		return f.LeaseUntil + f.Grace
	default:
		return f.LeaseUntil
	}
}

// ClearMarks lists the marks of machines at which open counts nothing.
func (s *Fence[K]) ClearMarks(open func(K) int) []Mark[K] {
	return slices.DeleteFunc(slices.Clone(s.facts.Marked), func(m Mark[K]) bool { return open(m.Machine) > 0 })
}
