package reducer

import (
	"fmt"
	"time"

	"lilacglade/internal/listcalls"
	"lilacglade/internal/logburst"
)

// listLogEvery bounds the log's lines on calls that are made after others failed.
const listLogEvery = time.Second

// listLog is what operators are told of the calls for the server list. Its zero value is not of use:
// newListLog makes one.
type listLog struct {
	heard     bool
	heardAt   time.Duration // when discovery last answered; before that, when the first call was made
	endedAt   time.Duration // when the last call ended, 0 while one is out
	gap       time.Duration // the longest time without a call that is out
	failed    int
	firstFail time.Duration
	outdated  uint64
	lapses    uint64 // times that the lease of a list ran out that had been used
	withheld  uint64 // attempts that waited for a connection meanwhile
	asked     bool
	askedAt   time.Duration    // when the last call was made
	lines     logburst.Limiter // on calls that are made after others failed
	failures  logburst.Limiter // on calls that failed
}

func newListLog() listLog {
	return listLog{lines: logburst.Limiter{Every: listLogEvery}, failures: logburst.Limiter{Every: listLogEvery}}
}

// asks takes in that a call is made, and returns a line for the log, empty where there is nothing to say.
func (l *listLog) asks(now time.Duration, number int) string {
	paused := time.Duration(0)
	if l.endedAt > 0 {
		paused = now - l.endedAt
	}
	l.endedAt, l.askedAt = 0, now
	if !l.asked {
		l.asked, l.heardAt = true, now
	}
	if l.failed == 0 {
		return ""
	}
	l.gap = max(l.gap, paused)
	if _, ok := l.lines.Allow(now); !ok {
		return ""
	}
	return fmt.Sprintf("server list: call %d is made %v after the last one ended; %d failed, unheard for %v",
		number, paused.Round(time.Millisecond), l.failed, (now - l.heardAt).Round(time.Millisecond))
}

// ended takes in that a call has failed or fell silent, and returns a line for the log.
func (l *listLog) ended(now time.Duration) string {
	l.endedAt = now
	switch l.failed++; l.failed {
	case 1:
		l.firstFail = now
	case outOfReach:
		return "the list is out of reach"
	}
	return ""
}

// failedCall returns a line on a call that has just failed and when the next one is due, empty where the log
// has had enough of them.
func (l *listLog) failedCall(now time.Duration, number int, next time.Duration) string {
	if _, ok := l.failures.Allow(now); !ok {
		return ""
	}
	return fmt.Sprintf("server list: call %d failed after %v, the next one is due in %v; heard %v ago", number,
		(now - l.askedAt).Round(time.Millisecond), (next - now).Round(time.Millisecond),
		l.age(now).Round(time.Millisecond))
}

// age is how long ago discovery last answered; before that, how long ago the first call was made.
func (l *listLog) age(now time.Duration) time.Duration {
	if !l.asked {
		return 0
	}
	return now - l.heardAt
}

// outOfReach is how many calls in a row fail before the list counts as out of reach.
const outOfReach = 2

// answered takes in that discovery has answered, and returns a line for the log.
func (l *listLog) answered(now time.Duration) (line string) {
	if l.failed > 0 {
		line = fmt.Sprintf("server list: discovery answers again, %v after a call first failed; %d failed",
			(now - l.firstFail).Round(time.Millisecond), l.failed)
	}
	l.heard, l.heardAt, l.endedAt, l.failed = true, now, now, 0
	return line
}

// lapse takes in that the list's lease has run out or holds again, and returns a line for the log.
func (l *listLog) lapse(now time.Duration, expired bool) string {
	if !expired {
		return "server list: it may be used again"
	}
	l.lapses++
	return fmt.Sprintf("server list: heard %v ago, it may be out of date: nothing new is sent until it is heard",
		l.age(now).Round(time.Millisecond))
}

// sent takes in that an attempt is sent by the list that there is.
func (l *listLog) sent(now time.Duration) {
	if l.failed > 0 && now-l.heardAt > listcalls.NewsBy {
		l.outdated++
	}
}

func (l *listLog) figures(now time.Duration) ListFigures {
	return ListFigures{Heard: l.heard, Unheard: l.age(now), LongestUnsent: l.gap, Failed: l.failed,
		Outdated: l.outdated, Lapses: l.lapses, Withheld: l.withheld}
}
