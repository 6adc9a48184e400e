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

// parseRequest returns a request of one class with the given lines in its head.
func parseRequest(lines string) (reducer.Event, bool) {
	set := settings.Settings{Settings: lg.Settings{Classes: []lg.Class{{Name: "look", Deadline: time.Second}}}}
	var parser http1.Parser
	parser.Feed([]byte("GET /api HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Class: look\r\n" +
		lines + "\r\n"))
	message, err := parser.Next()
	if err != nil || message == nil {
		return nil, false
	}
	return requestEvent(&set, false, 1, message, 0), true
}

// TestWorkHintReachesBalancer checks that valid hints arrive at the Balancer, and that a malformed
// optional field counts as absent instead of causing a rejection.
func TestWorkHintReachesBalancer(t *testing.T) {
	for lines, want := range map[string]time.Duration{
		"":                                       0,
		"Work-Hint: 53000\r\n":                   53 * time.Millisecond,
		"work-hint: 1.5 \r\n":                    1500 * time.Nanosecond,
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
		event, ok := parseRequest(lines)
		asked, isRequest := event.(reducer.RequestReceived)
		if !ok || !isRequest || asked.Cost != want {
			t.Errorf("%q: got %+v, want a request of %v", lines, event, want)
		}
	}
	var got lg.Request
	state, err := reducer.New(reducer.Config{MaxClients: 4, MaxServerConns: 4, Decider: requestRecorder{&got},
		Settings: lg.Settings{Classes: []lg.Class{{Name: "look", Deadline: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	event, _ := parseRequest("Work-Hint: 53000\r\n")
	state.Step(0, reducer.ClientOpened{Conn: 1})
	if state.Step(0, event); got.Cost != 53*time.Millisecond {
		t.Errorf("the Balancer received %v", got.Cost)
	}
}

// requestRecorder stores the last request that it is given.
type requestRecorder struct{ got *lg.Request }

func (s requestRecorder) Handle(_ time.Duration, event lg.Event) []lg.Action {
	if request, ok := event.(lg.Request); ok {
		*s.got = request
	}
	return nil
}

// FuzzRequestEvent checks that a request is accepted whatever an optional field holds, and that its
// work is within the limits.
func FuzzRequestEvent(f *testing.F) {
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
		event, ok := parseRequest(name + ": " + value + "\r\n")
		if !ok || strings.ContainsAny(value, "\r\n") {
			return
		}
		if request, ok := event.(reducer.RequestReceived); !ok || request.Cost < 0 || request.Cost > maxWorkHint {
			t.Errorf("%s: %q gives %+v", name, value, event)
		}
	})
}
