package reducer

import (
	"strings"
	"testing"
	"time"

	lg "lilacglade"
)

// stepLog returns the lines that the last step logged.
func (l *listTest) stepLog() string {
	var lines []string
	for _, e := range l.s.effects {
		if e.Do == Log {
			lines = append(lines, e.Text)
		}
	}
	return strings.Join(lines, "\n")
}

// TestListLog covers what operators are shown of failed calls: a line for each following call with the
// pause before it, a line at the end of the outage, and the metrics.
func TestListLog(t *testing.T) {
	l := newListTest(t, func(cfg *Config) {
		cfg.Settings.AskForList, cfg.Settings.AskEvery = true, 10*time.Second
	})
	l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
	l.nextCall(listOf(lg.FullList, lg.Ready, 1))
	if got := l.s.list.metrics(l.now); !got.Received || got.FailedCalls != 0 {
		t.Errorf("before: %+v", got)
	}
	answered := l.now
	l.now += time.Second
	pause, _ := l.nextCall(failedCall)
	if !strings.Contains(l.stepLog(), "1 failed") {
		t.Errorf("logged %q", l.stepLog())
	}
	if want := "call 2 failed after 1s, the next one is due in "; !strings.Contains(l.log.String(), want) {
		t.Errorf("logged %q, want %q", l.log.String(), want)
	}
	got := l.s.list.metrics(l.now)
	if got.FailedCalls != 1 || got.LongestPause != pause || (got.SinceAnswer-(l.now-answered)).Abs() > 200*ms {
		t.Errorf("while it fails: %+v, paused %v", got, pause)
	}
	l.nextCall(failedCall)
	l.now += 2 * time.Second
	l.step(listOf(lg.Changes, lg.Ready))
	if !strings.Contains(l.stepLog(), "answers again") || !strings.Contains(l.stepLog(), "2 failed") {
		t.Errorf("logged %q", l.stepLog())
	}
	if got := l.s.list.metrics(l.now); got.FailedCalls != 0 || got.SinceAnswer != 0 {
		t.Errorf("after: %+v", got)
	}
}
