package transport

import "time"

// clockOrigin is the time on the proxy's clock at its start. It is not 0, so that servers that
// started earlier have positive times, too.
const clockOrigin = 24 * time.Hour

// pastDeadline returns a deadline in the past for the standard library's connections. It holds
// whatever the wall clock reads: a time with a monotonic reading is compared by that.
func pastDeadline() time.Time { return time.Now().Add(-time.Second) }

// clock is the proxy's only source of time. It runs on the monotonic clock alone, so that a step of
// the wall clock changes no deadline, window, wait or grace period. A point in time on it is a
// time.Duration, which can't be mistaken for a wall time. Timeouts for a library are computed by
// until, just before they are passed.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// now returns the current time.
func (c clock) now() time.Duration { return c.at(time.Now()) }

// at returns the time of a reading of the system's clock, which must have been made in this
// process.
func (c clock) at(reading time.Time) time.Duration {
	return clockOrigin + scaleElapsed(reading.Sub(c.start))
}

// until returns the duration until a deadline; 0 or less if it has passed.
func (c clock) until(deadline time.Duration) time.Duration { return unscaleElapsed(deadline - c.now()) }

// uptime returns how long the process has run.
func (c clock) uptime() time.Duration { return c.now() - clockOrigin }

// epoch returns the wall time at which the clock read 0, by the wall clock at the process's start.
func (c clock) epoch() time.Time { return c.start.Add(-clockOrigin) }
