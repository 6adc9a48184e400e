package soak

import (
	"strings"
	"testing"
	"time"
)

// TestNotifiedBy has a row for each sentence of the pages on when a change counts as notified that did not
// arrive. Times are seconds of a run; the time for asking is 10 s.
func TestNotifiedBy(t *testing.T) {
	zero := time.Now()
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	call := func(how callEnd, began, ended, wait float64) *callRecord {
		c := &callRecord{began: at(began), wait: time.Duration(wait * float64(time.Second)), how: how}
		if ended > 0 {
			c.ended = at(ended)
		}
		return c
	}
	silent := func(since float64, c *callRecord) *callRecord {
		c.silent = at(since)
		return c
	}
	calls := func(all ...*callRecord) knowledge { return knowledge{calls: all, askEvery: askSeldom} }
	reached := func(all ...reach) knowledge { return knowledge{reach: all, askEvery: askSeldom} }
	for name, tc := range map[string]struct {
		know    knowledge
		changed float64
		now     float64
		want    float64 // below 0: not while discovery is out of reach
		why     sentence
	}{
		"6 s after discovery had it": {changed: 10, now: 20, want: 16, why: afterReach},
		"not while it is out of reach": {
			know:    reached(reach{at(5), false}),
			changed: 10, now: 20, want: -1, why: afterReach},
		"6 s after it could be reached": {
			know:    reached(reach{at(5), false}, reach{at(13), true}),
			changed: 10, now: 20, want: 19, why: afterReach},
		"an outage before it is nothing": {
			know:    reached(reach{at(5), false}, reach{at(8), true}),
			changed: 10, now: 20, want: 16, why: afterReach},
		"one that begins after the 6 s is nothing": {
			know:    reached(reach{at(17), false}, reach{at(18), true}),
			changed: 10, now: 20, want: 16, why: afterReach},
		"one within the 6 s counts anew": {
			know:    reached(reach{at(12), false}, reach{at(13), true}),
			changed: 10, now: 20, want: 19, why: afterReach},
		"two, each within": {
			know:    reached(reach{at(12), false}, reach{at(13), true}, reach{at(15), false}, reach{at(16), true}),
			changed: 10, now: 25, want: 22, why: afterReach},
		"a process that starts has no more than others": {
			know:    calls(call(refused, 12, 12.1, 10), call(out, 14, 0, 10)),
			changed: 10, now: 20, want: 16, why: afterReach},
		"a silent watch: 2 s after its wait": {
			know:    calls(silent(9, call(out, 8, 0, 10))),
			changed: 10, now: 21, want: 20, why: afterSilence},
		"and given up after its wait": {
			know:    calls(silent(9, call(givenUp, 8, 18.5, 10)), call(out, 18.5, 0, 10)),
			changed: 10, now: 21, want: 20, why: afterSilence},
		"and given up between its wait and the 6 s": {
			know:    calls(silent(9.9, call(givenUp, 5.5, 15.9, 10)), call(out, 15.9, 0, 0)),
			changed: 10, now: 21, want: 17.5, why: afterSilence},
		"and given up early: whatever else is allowed": {
			know:    calls(silent(9, call(givenUp, 8, 12, 10)), call(out, 12, 0, 10)),
			changed: 10, now: 21, want: 16, why: afterReach},
		"a short one: 6 s after it fell silent": {
			know:    calls(silent(9, call(out, 8, 0, 3))),
			changed: 10, now: 21, want: 15, why: afterSilence},
		"late in its wait: 2 s after that": {
			know:    calls(silent(1, call(out, 1, 0, 10))),
			changed: 10, now: 21, want: 13, why: afterSilence},
		"one that was reset is not silent": {
			know:    calls(call(broken, 8, 10.1, 10)),
			changed: 10, now: 21, want: 16, why: afterReach},
		"one that had ended before is nothing": {
			know:    calls(silent(2, call(givenUp, 1, 9, 20))),
			changed: 10, now: 21, want: 16, why: afterReach},
		"one that began later is nothing": {
			know:    calls(silent(12, call(out, 11, 0, 20))),
			changed: 10, now: 21, want: 16, why: afterReach},
		"a whole list never waits": {
			know:    calls(silent(9, call(out, 9, 0, 0))),
			changed: 10, now: 21, want: 16, why: afterReach},
		"between two calls of a watch": {
			know:    calls(call(answered, 5, 9.95, 10), call(refused, 10.1, 10.2, 10)),
			changed: 10, now: 21, want: 10, why: betweenCalls},
		"the next call came too late for that": {
			know:    calls(call(answered, 5, 9.95, 10), call(refused, 10.2, 10.3, 10)),
			changed: 10, now: 21, want: 16, why: afterReach},
		"no watch, the last call was answered": {
			know: knowledge{calls: []*callRecord{call(answered, 5, 9, 1)},
				askEvery: 1500 * time.Millisecond},
			changed: 10, now: 21, want: 11.5, why: withoutWatch},
		"no watch, the last call failed": {
			know: knowledge{calls: []*callRecord{call(refused, 5, 9, 1)},
				askEvery: 1500 * time.Millisecond},
			changed: 10, now: 21, want: 16, why: afterReach},
	} {
		by, why, ok := notifiedBy(tc.know, at(tc.changed), at(tc.now))
		if ok != (tc.want >= 0) || ok && !by.Equal(at(tc.want)) || why != tc.why {
			t.Errorf("%s: %v by %q, %t; want %v by %q", name, by.Sub(zero), why, ok, tc.want, tc.why)
		}
	}
}

// TestLives guards against a restart that has what a process did before it be forgotten, and holds that a
// process knows what it had last from its start on.
func TestLives(t *testing.T) {
	for name, tc := range map[string]struct {
		restart float64 // with the version that the process had last; 0: none
		told    bool    // the change, by a call in the first life
		attempt float64
		want    string // in the violation; "": none
	}{
		"6 s after the change":          {attempt: 6.2},
		"later":                         {attempt: 6.5, want: "0.500 s after it counts"},
		"later, and then restarted":     {attempt: 6.5, restart: 7, want: "0.500 s after it counts"},
		"restarted after the change":    {attempt: 6.5, restart: 1.5, want: "0.500 s after it counts"},
		"told":                          {attempt: 2, told: true, want: "1.5s after its process"},
		"told, restarted":               {attempt: 2.6, told: true, restart: 2.5},
		"told, restarted, its own list": {attempt: 3, told: true, restart: 2.5, want: "500ms after its process"},
	} {
		stalls := newStalls()
		j := newJudge(stalls, askSeldom)
		zero := j.began
		at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
		j.listed("s", true, 1, at(-9))
		j.started("n", at(-8), 1)
		j.listed("s", false, 2, at(0))
		if tc.told {
			j.told(j.called("n", at(0.4), 0), 2, at(0.5))
		}
		if tc.restart > 0 {
			j.started("n", at(tc.restart), j.lastTold("n"))
		}
		j.judgeDrain(&request{proxy: "n"}, &attempt{server: "s", first: at(tc.attempt)}, 0)
		stalls.stop()
		got := ""
		if len(j.violations) > 0 {
			got = j.violations[0].What
		}
		if !strings.Contains(got, tc.want) || tc.want == "" && got != "" {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestTrace holds that a trace shows the calls from before a change up to the one that ended the delay.
func TestTrace(t *testing.T) {
	zero := time.Now()
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	l := &life{started: at(-20)}
	for _, c := range []*callRecord{{began: at(-19), ended: at(-18), how: answered},
		{began: at(-17), ended: at(-9), how: answered}, {began: at(-9), ended: at(-8), how: broken},
		{began: at(-2), ended: at(-2), how: refused}, {began: at(8), ended: at(8.5), how: answered},
		{began: at(9), how: out}} {
		l.calls = append(l.calls, c)
	}
	got := trace(l, []reach{{at(-8), false}, {at(-0.1), true}}, zero, at(7))
	want := "in s from the change: process started -20.000; discovery down -8.000 back -0.100; calls " +
		"[-17.000 answered -9.000] [-9.000 broken -8.000] [-2.000 refused -2.000] [+8.000 answered +8.500]"
	if got != want {
		t.Errorf("%s; want %s", got, want)
	}
}

// TestRunsBesideEachOther holds that two runs at once share no address: each server gets what its own
// clients sent only, and one that was killed finds its port free.
func TestRunsBesideEachOther(t *testing.T) {
	for range 2 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(t, Options{Seed: 5, Proxies: 3, Servers: 6, Every: 10 * time.Millisecond})
			for range 10 {
				s := f.servers[2]
				s.Kill()
				time.Sleep(100 * time.Millisecond)
				if err := s.Start(); err != nil {
					t.Error(err)
				}
				f.discovery.change(func() {})
			}
			finish(t, f)
		})
	}
}
