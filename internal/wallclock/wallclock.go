// Package wallclock tells when the machine's wall clock was stepped. The proxy measures every span of time
// by the monotonic clock, so a step must change nothing; operators want to see it all the same.
package wallclock

import "time"

// Threshold is the least difference between two observations that counts as a step. A clock that is slewed
// to the right time moves by less than that between two of them.
const Threshold = 200 * time.Millisecond

// Monitor compares the wall clock with the monotonic clock. The zero value is ready to use; it is not safe
// for use from several goroutines.
type Monitor struct {
	offset  time.Duration
	started bool
	steps   uint64
}

// Observe takes in one reading of both clocks: the wall clock as Unix time, and the time since some fixed
// moment by the monotonic clock. It returns by how much the wall clock was stepped since the last call,
// 0 if it was not.
func (m *Monitor) Observe(unix, elapsed time.Duration) time.Duration {
	offset := unix - elapsed
	step := offset - m.offset
	first := !m.started
	m.offset, m.started = offset, true
	if first || step.Abs() < Threshold {
		return 0
	}
	m.steps++
	return step
}

// Steps is how many steps were seen.
func (m *Monitor) Steps() uint64 { return m.steps }
