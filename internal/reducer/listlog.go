package reducer

import (
	"fmt"
	"time"

	"lilacglade/internal/listcalls"
	"lilacglade/internal/logburst"
)

// listLogInterval is the minimum time between two log lines on calls after failed ones, and between two
// on failed calls.
const listLogInterval = time.Second

// listLog keeps what operators are shown of the calls for the server list. Use newListLog: the zero
// value does not limit log lines.
type listLog struct {
	received         bool
	answeredAt       time.Duration // when discovery last answered; before that, when the first call was made
	endedAt          time.Duration // when the last call ended; 0 while one is pending
	longestPause     time.Duration // the longest time without a pending call
	failedCalls      int
	firstFailedAt    time.Duration
	outdatedAttempts uint64
	leaseExpirations uint64 // how often the lease of a list in use ran out
	withheldAttempts uint64 // attempts that were waiting for a connection at that time
	called           bool
	calledAt         time.Duration    // when the last call was made
	retryLines       logburst.Limiter // on calls after failed ones
	failureLines     logburst.Limiter // on failed calls
}

func newListLog() listLog {
	return listLog{retryLines: logburst.Limiter{Every: listLogInterval},
		failureLines: logburst.Limiter{Every: listLogInterval}}
}

// callStarted records that a call is made, and returns a log line, empty if there is nothing to report.
func (l *listLog) callStarted(now time.Duration, number int) string {
	pause := time.Duration(0)
	if l.endedAt > 0 {
		pause = now - l.endedAt
	}
	l.endedAt, l.calledAt = 0, now
	if !l.called {
		l.called, l.answeredAt = true, now
	}
	if l.failedCalls == 0 {
		return ""
	}
	l.longestPause = max(l.longestPause, pause)
	if _, ok := l.retryLines.Allow(now); !ok {
		return ""
	}
	return fmt.Sprintf("server list: call %d is made %v after the last one ended; %d failed, no answer for %v",
		number, pause.Round(time.Millisecond), l.failedCalls, (now - l.answeredAt).Round(time.Millisecond))
}

// callFailed records that a call has failed or timed out, and returns a log line or an empty one.
func (l *listLog) callFailed(now time.Duration) string {
	l.endedAt = now
	switch l.failedCalls++; l.failedCalls {
	case 1:
		l.firstFailedAt = now
	case unreachableFailures:
		return "the list is out of reach"
	}
	return ""
}

// failureLine returns a log line on a call that has just failed and the time of the next one. It is
// empty if the last such line is less than listLogInterval ago.
func (l *listLog) failureLine(now time.Duration, number int, next time.Duration) string {
	if _, ok := l.failureLines.Allow(now); !ok {
		return ""
	}
	return fmt.Sprintf("server list: call %d failed after %v, the next one is due in %v; last answer %v ago",
		number, (now - l.calledAt).Round(time.Millisecond), (next - now).Round(time.Millisecond),
		l.sinceAnswer(now).Round(time.Millisecond))
}

// sinceAnswer returns how long ago discovery last answered; before that, how long ago the first call
// was made.
func (l *listLog) sinceAnswer(now time.Duration) time.Duration {
	if !l.called {
		return 0
	}
	return now - l.answeredAt
}

// unreachableFailures is the number of successive failed calls after which the list service counts as
// unreachable.
const unreachableFailures = 2

// callAnswered records that discovery has answered, and returns a log line or an empty one.
func (l *listLog) callAnswered(now time.Duration) (line string) {
	if l.failedCalls > 0 {
		line = fmt.Sprintf("server list: discovery answers again, %v after a call first failed; %d failed",
			(now - l.firstFailedAt).Round(time.Millisecond), l.failedCalls)
	}
	l.received, l.answeredAt, l.endedAt, l.failedCalls = true, now, now, 0
	return line
}

// leaseChanged records that the lease of the list has run out or was renewed, and returns a log line.
func (l *listLog) leaseChanged(now time.Duration, expired bool) string {
	if !expired {
		return "server list: it may be used again"
	}
	l.leaseExpirations++
	return fmt.Sprintf("server list: last answer %v ago, may be out of date: no new attempts until the next one",
		l.sinceAnswer(now).Round(time.Millisecond))
}

// attemptSent records that an attempt is sent by the current list.
func (l *listLog) attemptSent(now time.Duration) {
	if l.failedCalls > 0 && now-l.answeredAt > listcalls.NotifiedAfter {
		l.outdatedAttempts++
	}
}

func (l *listLog) metrics(now time.Duration) ListMetrics {
	return ListMetrics{Received: l.received, SinceAnswer: l.sinceAnswer(now), LongestPause: l.longestPause,
		FailedCalls: l.failedCalls, OutdatedAttempts: l.outdatedAttempts, LeaseExpirations: l.leaseExpirations,
		WithheldAttempts: l.withheldAttempts}
}
