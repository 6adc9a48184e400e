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

// Facts are what is known, and until when that is enough.
type Facts[K comparable] struct {
	Index  uint64
	Marked []Mark[K]
	Named  []K
	Until  time.Duration // 0: no lease yet
	Grace  time.Duration
}

// Set is the state. New makes one that holds everything: without a lease nothing may be sent.
type Set[K comparable] struct {
	facts Facts[K]
	held  map[K]bool // nil: everything
	lapse bool       // the lease has run out
	cut   bool       // and what was open then is to be cut, or has been
}

// New is a Set before its first lease.
func New[K comparable]() *Set[K] { return &Set[K]{} }

// Told takes in facts. What changed is told by the next At.
func (s *Set[K]) Told(f Facts[K]) {
	if f.Index < s.facts.Index {
		return // an older state is never gone back to
	}
	if f.Index > s.facts.Index {
		s.held = nil
	}
	f.Until = max(f.Until, s.facts.Until)
	s.facts = f
}

// At is to be asked before each event. Changed says that what Holds tells may differ from before; cut, that
// all that is open at named machines is to be closed: the longest deadline has passed since the lease ran
// out.
func (s *Set[K]) At(now time.Duration) (changed, cut bool) {
	f := &s.facts
	if f.Until == 0 {
		return false, false
	}
	lapse := now >= f.Until
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
	if lapse && !s.cut && now-f.Until >= f.Grace {
		s.cut, cut = true, true
	}
	return changed, cut
}

// Holds tells whether nothing new may be sent to a machine.
func (s *Set[K]) Holds(id K) bool { return s.held == nil || s.held[id] }

// Leased tells whether there ever was a lease.
func (s *Set[K]) Leased() bool { return s.facts.Until > 0 }

// Named lists the machines that may go out.
func (s *Set[K]) Named() []K { return s.facts.Named }

// Index is that of the state that is kept to.
func (s *Set[K]) Index() uint64 { return s.facts.Index }

// Marks counts the machines that are marked.
func (s *Set[K]) Marks() int { return len(s.facts.Marked) }

// Until is when the lease ends that a machine may be sent to by, 0 if it needs none.
func (s *Set[K]) Until(id K) time.Duration {
	if !slices.Contains(s.facts.Named, id) {
		return 0
	}
	return s.facts.Until
}

// Due is when At has something to tell at the latest, if nothing is told before; 0: never.
func (s *Set[K]) Due() time.Duration {
	switch f := &s.facts; {
	case f.Until == 0 || s.cut:
		return 0
	case s.lapse:
		return f.Until + f.Grace
	default:
		return f.Until
	}
}

// Clear lists the marks of machines at which open counts nothing.
func (s *Set[K]) Clear(open func(K) int) []Mark[K] {
	return slices.DeleteFunc(slices.Clone(s.facts.Marked), func(m Mark[K]) bool { return open(m.Machine) > 0 })
}
