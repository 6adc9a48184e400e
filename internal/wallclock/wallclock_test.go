package wallclock

import (
	"testing"
	"time"
)

func TestMonitor(t *testing.T) {
	const unix = 1_700_000_000 * time.Second
	for _, tc := range []struct {
		name string
		wall []time.Duration // error of the wall clock at one reading per second
		want []time.Duration
	}{
		{"right", []time.Duration{0, 0, 0}, []time.Duration{0, 0, 0}},
		{"slewed", []time.Duration{0, time.Millisecond, 2 * time.Millisecond}, []time.Duration{0, 0, 0}},
		{"forward and back", []time.Duration{0, time.Hour, 0}, []time.Duration{0, time.Hour, -time.Hour}},
		{"wrong from the start", []time.Duration{-time.Hour, -time.Hour}, []time.Duration{0, 0}},
		{"a second", []time.Duration{0, -time.Second, -time.Second}, []time.Duration{0, -time.Second, 0}},
	} {
		var m Monitor
		steps := uint64(0)
		for i, wall := range tc.wall {
			elapsed := time.Duration(i) * time.Second
			if got := m.Observe(unix+elapsed+wall, elapsed); got != tc.want[i] {
				t.Errorf("%s: reading %d: step %v, want %v", tc.name, i, got, tc.want[i])
			}
			if tc.want[i] != 0 {
				steps++
			}
		}
		if m.Steps() != steps {
			t.Errorf("%s: %d steps, want %d", tc.name, m.Steps(), steps)
		}
	}
}
