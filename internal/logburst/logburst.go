// Package logburst limits the rate of a log line, so that an error that occurs a thousand times a
// second does not fill the log. The next line that is logged reports how many were suppressed.
package logburst

import "time"

// Limiter allows one line per interval Every. The zero value allows all lines. A Limiter is not safe for
// concurrent use.
type Limiter struct {
	Every      time.Duration // minimum time between two lines
	next       time.Duration // time from which the next line is allowed
	suppressed int           // lines suppressed since the last one that was allowed
}

// Allow reports whether a line may be logged at time now and, if so, how many lines were suppressed
// since the last one that was allowed.
func (l *Limiter) Allow(now time.Duration) (suppressed int, ok bool) {
	if now < l.next {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.suppressed, l.next = 0, now+l.Every
	return suppressed, true
}
