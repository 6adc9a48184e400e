package transport

import "time"

// longAgo is what the proxy's clock reads at its start: servers that started before it have
// a time of their own, too.
const clockOrigin = 24 * time.Hour

// past is a deadline for the standard library's connections that is over, whatever the wall clock says: a
// time that carries a reading of the monotonic clock is compared by that.
func pastDeadline() time.Time { return time.Now().Add(-time.Second) }

// clock is the proxy's one source of time. It runs on the monotonic clock alone, so that a step of the wall
// clock changes no deadline, window, wait or grace. A moment on it is a time.Duration, which can't be
// mistaken for a wall time; what a library wants is made of until, a span, at the last moment.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// now is the present moment.
func (c clock) now() time.Duration { return c.at(time.Now()) }

// at is the moment of a reading of the system's clock, which must have been made in this process.
func (c clock) at(reading time.Time) time.Duration {
	return clockOrigin + scaleElapsed(reading.Sub(c.start))
}

// until is how long it is until a moment; 0 and below: it is over.
func (c clock) until(deadline time.Duration) time.Duration { return unscaleElapsed(deadline - c.now()) }

// running is how long the process has run.
func (c clock) uptime() time.Duration { return c.now() - clockOrigin }

// epoch is the wall time at which the clock read 0, as the wall clock had it when the process started.
func (c clock) epoch() time.Time { return c.start.Add(-clockOrigin) }
