// Package logburst keeps a fault that comes a thousand times a second from filling the log: one line a
// burst, and then how many more there were.
package logburst

import "time"

// Limiter lets one line through in each Every. Its zero value lets all through. It is not safe for use from
// several goroutines.
type Limiter struct {
	Every      time.Duration
	next       time.Duration
	suppressed int
}

// Allow tells whether a line may be logged at the given time, and how many were not since the last one that
// was.
func (l *Limiter) Allow(now time.Duration) (suppressed int, ok bool) {
	if now < l.next {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.suppressed, l.next = 0, now+l.Every
	return suppressed, true
}
