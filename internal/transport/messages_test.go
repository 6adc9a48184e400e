package transport

import (
	"strings"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
	"lilacglade/internal/settings"
)

// read returns a request of one class with the given lines in its head.
func read(lines string) (reducer.Event, bool) {
	set := settings.Settings{Settings: lg.Settings{Classes: []lg.Class{{Name: "look", Deadline: time.Second}}}}
	var p http1.Parser
	p.Feed([]byte("GET /api HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Class: look\r\n" + lines + "\r\n"))
	m, err := p.Next()
	if err != nil || m == nil {
		return nil, false
	}
	return asked(&set, false, 1, m, 0), true
}

// TestHintReachesTheModule guards against hints that never arrive, and against optional fields that turn a
// request away: what is no estimate of work is as if absent.
func TestHintReachesTheModule(t *testing.T) {
	for lines, want := range map[string]time.Duration{
		"":                                       0,
		"Work-Hint: 53000\r\n":                   53 * time.Millisecond,
		"work-hint:  1.5 \r\n":                   1500 * time.Nanosecond,
		"Work-Hint: 0\r\n":                       0,
		"Work-Hint: -5\r\n":                      0,
		"Work-Hint: lots\r\n":                    0,
		"Work-Hint: NaN\r\n":                     0,
		"Work-Hint: +Inf\r\n":                    0,
		"Work-Hint: 1000000000\r\n":              0,
		"Work-Hint: 1e400\r\n":                   0,
		"Work-Hint: 5\r\nWork-Hint: 6\r\n":       0,
		"Work-Hint: \r\nRequest-Info: a=b,=\r\n": 0,
	} {
		ev, ok := read(lines)
		asked, took := ev.(reducer.CallerAsked)
		if !ok || !took || asked.Cost != want {
			t.Errorf("%q: got %+v, want a request of %v", lines, ev, want)
		}
	}
	var got lg.Request
	s, err := reducer.New(reducer.Config{MaxCallers: 4, MaxHops: 4, Decider: spy{&got},
		Settings: lg.Settings{Classes: []lg.Class{{Name: "look", Deadline: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	ev, _ := read("Work-Hint: 53000\r\n")
	s.Step(0, reducer.CallerOpened{Leg: 1})
	if s.Step(0, ev); got.Cost != 53*time.Millisecond {
		t.Errorf("the module was told %v", got.Cost)
	}
}

// spy keeps the requests that it is given.
type spy struct{ got *lg.Request }

func (s spy) Handle(_ time.Duration, ev lg.Event) []lg.Action {
	if r, ok := ev.(lg.Request); ok {
		*s.got = r
	}
	return nil
}

// FuzzAsked checks that whatever an optional field holds, a request that is read is taken, with no work that
// can't be.
func FuzzAsked(f *testing.F) {
	f.Add("Work-Hint", "12")
	f.Add("Work-Hint", "-0x1p9")
	f.Add("Request-Info", "zone=,=,,")
	f.Add("Affinity-Key", "\xff")
	f.Add("Client-Retry", "yes")
	f.Fuzz(func(t *testing.T, name, value string) {
		switch strings.ToLower(name) {
		case "work-hint", "request-info", "affinity-key", "client-retry":
		default:
			return
		}
		ev, ok := read(name + ": " + value + "\r\n")
		if !ok || strings.ContainsAny(value, "\r\n") {
			return
		}
		if a, ok := ev.(reducer.CallerAsked); !ok || a.Cost < 0 || a.Cost > maxHint {
			t.Errorf("%s: %q gives %+v", name, value, ev)
		}
	})
}
