package fencing

import (
	"testing"
	"time"
)

// TestLease covers what may be sent where, from before the first lease to after the last.
func TestLease(t *testing.T) {
	s := New[string]()
	if s.At(0); !s.Holds("a") {
		t.Error("sent before the first lease")
	}
	s.Told(Facts[string]{Index: 5, Named: []string{"a", "b"}, Marked: []Mark[string]{{"a", 4}}, Until: 100,
		Grace: 50})
	for _, tc := range []struct {
		now          time.Duration
		a, b, c, cut bool
	}{{10, true, false, false, false}, {99, true, false, false, false}, {100, true, true, false, false},
		{149, true, true, false, false}, {150, true, true, false, true}, {151, true, true, false, false}} {
		_, cut := s.At(tc.now)
		if s.Holds("a") != tc.a || s.Holds("b") != tc.b || s.Holds("c") != tc.c || cut != tc.cut {
			t.Errorf("at %d: holds %t %t %t, cut %t", tc.now, s.Holds("a"), s.Holds("b"), s.Holds("c"), cut)
		}
	}
	s.Told(Facts[string]{Index: 4, Until: 900}) // an older state
	if s.At(160); !s.Holds("a") || !s.Holds("b") {
		t.Error("went back to an older state")
	}
	s.Told(Facts[string]{Index: 6, Named: []string{"a"}, Until: 300, Grace: 50})
	if s.At(160); s.Holds("a") || s.Holds("b") {
		t.Error("held what is neither marked nor, with a lease, named")
	}
	if _, cut := s.At(350); !cut {
		t.Error("not cut after the second lease")
	}
}
