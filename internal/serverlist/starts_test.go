package serverlist

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
)

// discoveryEpoch is the Unix time at which the proxy's clock read 0, by discovery's clock.
const discoveryEpoch = 1_700_000_000 * time.Second

// documentOf returns a document whose servers started at times on the proxy's clock; 0: long ago.
func documentOf(version int, full bool, started map[string]time.Duration) []byte {
	entries := ""
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		at, ok := started[id]
		if !ok {
			continue
		}
		if at > 0 {
			at += discoveryEpoch
		}
		if entries != "" {
			entries += ","
		}
		entries += entry(id, fmt.Sprint("127.0.0.1:", i+1), "ready", "1", fmt.Sprint(at.Milliseconds()))
	}
	return doc(fmt.Sprint(version), fmt.Sprint(full), entries)
}

// startedOf returns the start time of a server in a list, and whether the list names it.
func startedOf(list lg.List, id string) (time.Duration, bool) {
	for _, server := range list.Servers {
		if server.ID == ID(id) {
			return server.Started, true
		}
	}
	return 0, false
}

// TestStartTimesWithWrongWallClock checks that a wall clock that was wrong when the process
// started makes no just started server look old, once discovery's start times have shown the error,
// and that a correct clock is used.
func TestStartTimesWithWrongWallClock(t *testing.T) {
	const processStart = 24 * time.Hour
	for _, clockError := range []time.Duration{0, time.Hour, -time.Hour, 20 * time.Second, -20 * time.Second} {
		s := New([]string{"b"}, []string{"m2"}, time.Unix(0, 0).Add(discoveryEpoch+clockError))
		if _, err := applyCached(s, documentOf(1, true, map[string]time.Duration{"a": 0,
			"b": processStart - 3*time.Second}), processStart); err != nil {
			t.Fatal(err)
		}
		if _, err := apply(s, documentOf(2, true, map[string]time.Duration{"a": 0,
			"b": processStart - 3*time.Second}), processStart+time.Second); err != nil {
			t.Fatal(err)
		}
		started := processStart + 10*time.Second
		list, err := apply(s, documentOf(3, false, map[string]time.Duration{"c": started}), started+time.Second)
		if err != nil {
			t.Fatal(err)
		}
		got, ok := startedOf(list, "c")
		tolerance := time.Second
		if clockError == 0 {
			tolerance = 0
		}
		if !ok || got < started || got > started+tolerance {
			t.Errorf("clock wrong by %v: c started at %v, taken for %v", clockError, started, got)
		}
		if at := s.startTimes.startedAt(instance{ID: "a"}); at != 0 {
			t.Errorf("clock wrong by %v: a started at %v, not long ago", clockError, at)
		}
		// Start times converted by the wrong clock before are corrected.
		b := s.startTimes.known[ID("b")].at
		if b < processStart-3*time.Second || b > processStart+time.Second {
			t.Errorf("clock wrong by %v: b started at %v, taken for %v", clockError, processStart-3*time.Second, b)
		}
		if again, ok := startedOf(list, "b"); clockError >= time.Hour && (!ok || again != b) {
			t.Errorf("clock wrong by %v: the list does not correct the start of b: %v, %t", clockError, again, ok)
		}
	}
}

// TestFreshProcess checks the start times that a process that has just started assumes for servers
// missing from its cached list, also on a host whose clock is an hour ahead.
func TestFreshProcess(t *testing.T) {
	const processStart = 24 * time.Hour
	cached := map[string]time.Duration{"a": 0, "b": 0, "c": 0}
	for _, tc := range []struct {
		name       string
		clockError time.Duration
		cached     map[string]time.Duration
		at         time.Duration // when d really started
		fresh      bool
	}{
		{"correct clock, young server", 0, cached, processStart - 2*time.Second, false},
		{"an hour ahead, young server", time.Hour, cached, processStart - 2*time.Second, true},
		{"correct clock, outdated cached list", 0, map[string]time.Duration{"e": 0}, processStart - time.Hour,
			false},
		{"no cached list", time.Hour, nil, processStart - time.Hour, false},
	} {
		s := New(nil, nil, time.Unix(0, 0).Add(discoveryEpoch+tc.clockError))
		if tc.cached != nil {
			if _, err := applyCached(s, documentOf(1, true, tc.cached), processStart); err != nil {
				t.Fatal(err)
			}
		}
		started := map[string]time.Duration{"a": 0, "b": 0, "c": 0, "d": tc.at}
		if len(tc.cached) < 2 {
			started = map[string]time.Duration{"a": tc.at, "b": tc.at, "d": tc.at}
		}
		list, err := apply(s, documentOf(2, true, started), processStart+time.Second)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := startedOf(list, "d")
		want := tc.at - tc.clockError
		if tc.fresh {
			want = processStart + time.Second
		}
		if got != want {
			t.Errorf("%s: d started at %v, want %v", tc.name, got, want)
		}
	}
}
