// Package fencing decides to which machines a proxy may send while machines are taken out for
// maintenance. It is pure and is consulted before every event. The restrictions come from the
// coordination group; the expiry of the lease follows from the clock alone, however late the fence is
// consulted.
package fencing

import (
	"slices"
	"time"
)

// Mark is a machine to which no new requests may be sent, and the grant that forbids them.
type Mark[K comparable] struct {
	Machine K
	Grant   uint64
}

// Restrictions are the committed state of the coordination group as far as it limits a proxy, and the
// lease until which the proxy may go by it.
type Restrictions[K comparable] struct {
	Index      uint64        // of the committed state
	Marked     []Mark[K]     // no new requests there
	Named      []K           // no new requests there after the lease
	LeaseUntil time.Duration // expiry of the lease on the caller's clock; 0: no lease yet
	Grace      time.Duration // longest request deadline
	// Alone means that the proxy may serve before its first lease, though it can't know which machines are
	// out. It ends with that lease for good.
	Alone bool
}

// Fence holds the restrictions and what follows from them. New returns one that blocks every machine:
// without a lease nothing may be sent.
type Fence[K comparable] struct {
	restrictions Restrictions[K]
	blocked      map[K]bool // nil: every machine
	expired      bool       // the lease has expired
	closed       bool       // Grace has passed since, and Advance has returned closeOpen
}

// New returns a Fence without a lease.
func New[K comparable]() *Fence[K] { return &Fence[K]{} }

// Update replaces the restrictions, unless they are older than the current ones. The next Advance reports
// the change.
func (s *Fence[K]) Update(f Restrictions[K]) {
	if f.Index < s.restrictions.Index {
		return // never revert to an older state
	}
	if f.Index > s.restrictions.Index {
		s.blocked = nil
	}
	f.LeaseUntil = max(f.LeaseUntil, s.restrictions.LeaseUntil)
	if f.Alone = f.Alone && f.LeaseUntil == 0; f.Alone != s.restrictions.Alone {
		s.blocked = nil
	}
	s.restrictions = f
}

// Advance must be called before each event. It returns changed if the results of Blocks may have changed,
// and closeOpen if all that is open at named machines must be closed: the longest request deadline has
// passed since the lease expired.
func (s *Fence[K]) Advance(now time.Duration) (changed, closeOpen bool) {
	f := &s.restrictions
	if !s.mayServe() {
		return false, false
	}
	expired := !f.Alone && now >= f.LeaseUntil
	if !expired {
		s.closed = false
	}
	if s.blocked == nil || expired != s.expired {
		s.expired, changed = expired, true
		s.blocked = make(map[K]bool, len(f.Named))
		for _, m := range f.Marked {
			s.blocked[m.Machine] = true
		}
		if expired {
			for _, id := range f.Named {
				s.blocked[id] = true
			}
		}
	}
	if expired && !s.closed && now-f.LeaseUntil >= f.Grace {
		s.closed, closeOpen = true, true
	}
	return changed, closeOpen
}

// Blocks reports whether no new requests may be sent to a machine.
func (s *Fence[K]) Blocks(id K) bool { return s.blocked == nil || s.blocked[id] }

// mayServe reports whether there has been a lease, or none is needed yet.
func (s *Fence[K]) mayServe() bool { return s.restrictions.LeaseUntil > 0 || s.restrictions.Alone }

// Alone reports whether the proxy serves without a lease, so that machines which are out may get requests.
func (s *Fence[K]) Alone() bool { return s.restrictions.Alone }

// Named lists the machines that may go out.
func (s *Fence[K]) Named() []K { return s.restrictions.Named }

// Index returns the index of the state that the fence enforces.
func (s *Fence[K]) Index() uint64 { return s.restrictions.Index }

// MarkCount returns the number of marks.
func (s *Fence[K]) MarkCount() int { return len(s.restrictions.Marked) }

// LeaseUntil returns the expiry of the lease that sending to a machine depends on; 0 if it depends on
// none.
func (s *Fence[K]) LeaseUntil(id K) time.Duration {
	if !slices.Contains(s.restrictions.Named, id) {
		return 0
	}
	return s.restrictions.LeaseUntil
}

// NextDeadline returns the time at which Advance next has a result without an Update; 0: never.
func (s *Fence[K]) NextDeadline() time.Duration {
	switch f := &s.restrictions; {
	case f.LeaseUntil == 0 || s.closed:
		return 0
	case s.expired:
		return f.LeaseUntil + f.Grace
	default:
		return f.LeaseUntil
	}
}

// ClearMarks lists the marks of machines for which open returns 0.
func (s *Fence[K]) ClearMarks(open func(K) int) []Mark[K] {
	return slices.DeleteFunc(slices.Clone(s.restrictions.Marked),
		func(m Mark[K]) bool { return open(m.Machine) > 0 })
}
