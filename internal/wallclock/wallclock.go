// Package wallclock detects steps of the machine's wall clock. The proxy measures every duration with the
// monotonic clock, so a step must not change its behaviour; it is reported to operators.
package wallclock

import "time"

// Threshold is the minimum change of the offset between the clocks, from one observation to the next, that
// counts as a step. A slewed clock changes by less than that between two observations.
const Threshold = 200 * time.Millisecond

// Monitor compares the wall clock with the monotonic clock. The zero value is ready to use. A Monitor is not
// safe for concurrent use.
type Monitor struct {
	offset   time.Duration
	observed bool
	steps    uint64
}

// Observe records one reading of both clocks: the wall clock as Unix time, and the time elapsed on the
// monotonic clock since a fixed instant. It returns the size of the wall clock's step since the last call, or
// 0 if there was none.
func (m *Monitor) Observe(unix, elapsed time.Duration) time.Duration {
	offset := unix - elapsed
	step := offset - m.offset
	first := !m.observed
	m.offset, m.observed = offset, true
	if first || step.Abs() < Threshold {
		return 0
	}
	m.steps++
	return step
}

// Steps returns the number of steps detected so far.
func (m *Monitor) Steps() uint64 { return m.steps }
