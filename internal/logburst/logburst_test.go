package logburst

import (
	"testing"
	"time"
)

// TestLimiter checks which lines of a sequence are allowed and how many are reported as suppressed.
func TestLimiter(t *testing.T) {
	l := Limiter{Every: time.Second}
	for i, step := range []struct {
		now        time.Duration
		suppressed int
		ok         bool
	}{
		{0, 0, true}, {time.Millisecond, 0, false}, {999 * time.Millisecond, 0, false},
		{time.Second, 2, true}, {5 * time.Second, 0, true},
	} {
		if suppressed, ok := l.Allow(step.now); suppressed != step.suppressed || ok != step.ok {
			t.Errorf("line %d at %v: %d, %t, want %d, %t", i, step.now, suppressed, ok, step.suppressed, step.ok)
		}
	}
}
