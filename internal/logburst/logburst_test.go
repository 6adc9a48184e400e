package logburst

import (
	"testing"
	"time"
)

func TestLimiter(t *testing.T) {
	l := Limiter{Every: time.Second}
	for i, step := range []struct {
		at         time.Duration
		suppressed int
		ok         bool
	}{
		{0, 0, true}, {time.Millisecond, 0, false}, {999 * time.Millisecond, 0, false},
		{time.Second, 2, true}, {5 * time.Second, 0, true},
	} {
		if n, ok := l.Allow(step.at); n != step.suppressed || ok != step.ok {
			t.Errorf("line %d at %v: %d, %t, want %d, %t", i, step.at, n, ok, step.suppressed, step.ok)
		}
	}
}
