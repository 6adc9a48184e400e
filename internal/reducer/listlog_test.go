package reducer

import (
	"strings"
	"testing"
	"time"

	lg "lilacglade"
)

// logged returns the lines that the step's effects log.
func (l *lister) logged() string {
	var lines []string
	for _, e := range l.s.effects {
		if e.Do == Log {
			lines = append(lines, e.Text)
		}
	}
	return strings.Join(lines, "\n")
}

// TestListLog covers what operators are told of calls that fail: each call that follows, with the pause
// before it, the end of the outage, and the figures.
func TestListLog(t *testing.T) {
	l := newLister(t, func(cfg *Config) {
		cfg.Settings.AskForList, cfg.Settings.AskEvery = true, 10*time.Second
	})
	l.next(listOf(lg.CachedList, lg.Ready, 1))
	l.next(listOf(lg.FullList, lg.Ready, 1))
	if got := l.s.list.figures(l.now); !got.Heard || got.Failed != 0 {
		t.Errorf("before: %+v", got)
	}
	heard := l.now
	l.now += time.Second
	paused, _ := l.next(failedCall)
	if !strings.Contains(l.logged(), "1 failed") {
		t.Errorf("logged %q", l.logged())
	}
	if want := "call 2 failed after 1s, the next one is due in "; !strings.Contains(l.lines.String(), want) {
		t.Errorf("logged %q, want %q", l.lines.String(), want)
	}
	got := l.s.list.figures(l.now)
	if got.Failed != 1 || got.LongestUnsent != paused || (got.Unheard-(l.now-heard)).Abs() > 200*ms {
		t.Errorf("while it fails: %+v, paused %v", got, paused)
	}
	l.next(failedCall)
	l.now += 2 * time.Second
	l.calls(listOf(lg.Changes, lg.Ready))
	if !strings.Contains(l.logged(), "answers again") || !strings.Contains(l.logged(), "2 failed") {
		t.Errorf("logged %q", l.logged())
	}
	if got := l.s.list.figures(l.now); got.Failed != 0 || got.Unheard != 0 {
		t.Errorf("after: %+v", got)
	}
}
