package fencing

import (
	"testing"
	"time"
)

// TestLease covers which machines are blocked, from before the first lease until after the last.
func TestLease(t *testing.T) {
	s := New[string]()
	if s.Advance(0); !s.Blocks("a") {
		t.Error("not blocked before the first lease")
	}
	s.Update(Restrictions[string]{Index: 5, Named: []string{"a", "b"}, Marked: []Mark[string]{{"a", 4}},
		LeaseUntil: 100, Grace: 50})
	for _, tc := range []struct {
		now          time.Duration
		a, b, c, cut bool
	}{{10, true, false, false, false}, {99, true, false, false, false}, {100, true, true, false, false},
		{149, true, true, false, false}, {150, true, true, false, true}, {151, true, true, false, false}} {
		_, cut := s.Advance(tc.now)
		if s.Blocks("a") != tc.a || s.Blocks("b") != tc.b || s.Blocks("c") != tc.c || cut != tc.cut {
			t.Errorf("at %d: blocks %t %t %t, close %t", tc.now, s.Blocks("a"), s.Blocks("b"), s.Blocks("c"), cut)
		}
	}
	s.Update(Restrictions[string]{Index: 4, LeaseUntil: 900}) // an older state
	if s.Advance(160); !s.Blocks("a") || !s.Blocks("b") {
		t.Error("reverted to an older state")
	}
	s.Update(Restrictions[string]{Index: 6, Named: []string{"a"}, LeaseUntil: 300, Grace: 50})
	if s.Advance(160); s.Blocks("a") || s.Blocks("b") {
		t.Error("blocks a machine that is neither marked nor, without a lease, named")
	}
	if _, cut := s.Advance(350); !cut {
		t.Error("open requests not closed after the second lease")
	}
}

// TestAloneEndsWithFirstLease checks that a proxy which serves before its first lease blocks, from the end
// of that lease on, what may go out.
func TestAloneEndsWithFirstLease(t *testing.T) {
	s := New[string]()
	s.Update(Restrictions[string]{Alone: true})
	if s.Advance(10); s.Blocks("a") || !s.Alone() {
		t.Error("does not serve alone")
	}
	if due := s.NextDeadline(); due != 0 {
		t.Errorf("its end is due at %v", due)
	}
	s.Update(Restrictions[string]{Index: 1, Named: []string{"a"}, Marked: []Mark[string]{{"b", 1}},
		LeaseUntil: 100, Grace: 50})
	if s.Advance(20); s.Alone() || s.Blocks("a") || !s.Blocks("b") || s.LeaseUntil("a") != 100 {
		t.Error("its first lease does not count")
	}
	if s.Advance(100); !s.Blocks("a") || s.Blocks("c") {
		t.Error("the end of its lease does not count")
	}
	s.Update(Restrictions[string]{Index: 1, Alone: true})
	if s.Advance(110); s.Alone() {
		t.Error("alone again after a lease")
	}
}
