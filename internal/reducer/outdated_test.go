package reducer

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/listcalls"
)

// drainGrace is what the settings of these tests allow for going on with a server that drains, and slack what
// the protocol's page adds to each limit.
const (
	drainGrace = 250 * ms
	slack      = 50 * ms
)

// toFirst is a decider that sends each request to server 1, once, and refuses what comes to nothing.
type toFirst struct{}

func (toFirst) Handle(_ time.Duration, ev lg.Event) []lg.Action {
	switch ev := ev.(type) {
	case lg.Request:
		return []lg.Action{{Do: lg.Send, Request: ev.ID, Server: 1}}
	case lg.Outcome:
		if !ev.Closed && ev.Result != lg.OK {
			return []lg.Action{{Do: lg.Refuse, Request: ev.Request}}
		}
	}
	return nil
}

// outage is a proxy that takes events in a forced order. Its servers do all that is asked of them; what
// becomes of its calls for the list is up to the test.
type outage struct {
	*testing.T
	s        *State
	now      time.Duration
	client   LegID // on which the next request comes
	forwards int
	dials    []LegID       // that are held up
	holds    bool          // dials are held up
	out      bool          // a call for the list is out,
	began    time.Duration // since then
	wait     time.Duration // and may wait so long
}

// newOutage returns a proxy of a fleet that makes its first call for the list, knowing one from before.
func newOutage(t *testing.T, fleet int) *outage {
	t.Helper()
	cfg := testConfig()
	cfg.Discovery, cfg.Decider = "d", toFirst{}
	cfg.Settings.Me, cfg.Settings.Balancers = fleet-1, fleet
	cfg.Settings.AskEvery, cfg.Settings.DrainGrace = 10*time.Second, drainGrace
	cfg.Settings.ConnectTimeout = time.Second
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	o := &outage{T: t, s: s, now: time.Hour}
	o.step(listOf(lg.CachedList, lg.Ready, 1))
	o.s.firstCall()
	o.connect()
	for !o.out {
		o.pass(10 * ms)
	}
	return o
}

// newHeard returns a proxy whose first call was answered, and whose watch is out.
func newHeard(t *testing.T, fleet int) *outage {
	t.Helper()
	o := newOutage(t, fleet)
	o.answer()
	for !o.out {
		o.pass(10 * ms)
	}
	return o
}

// step takes an event now, and what the servers make of its effects.
func (o *outage) step(ev Event) {
	events := []Event{ev}
	for len(events) > 0 {
		var next []Event
		for _, e := range o.s.Step(o.now, events[0]) {
			next = append(next, o.do(e)...)
		}
		events = append(events[1:], next...)
	}
}

// do carries out an effect, and returns what comes of it.
func (o *outage) do(e Effect) []Event {
	switch e.Do {
	case Watch:
		o.out, o.began, o.wait = true, o.now, e.At-o.now
		return []Event{ListReached{}} // the service takes the connection, whether or not it answers
	case Dial:
		if !o.holds {
			return []Event{HopDialed{Leg: e.Leg, OK: true}}
		}
		o.dials = append(o.dials, e.Leg)
	case Forward:
		o.forwards++
		return []Event{HopWritten{Leg: e.Leg, OK: true}, HopAnswered{Leg: e.Leg, Result: lg.OK, Keep: true}}
	case AnswerCaller:
		return []Event{CallerWritten{Leg: e.Leg, OK: true}}
	}
	return nil
}

// pass lets time go by with the reducer's timers in time.
func (o *outage) pass(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now = min(end, o.now+10*ms)
		o.step(Woken{})
	}
}

// jump lets time go by while the reducer's timers are late: the next event finds them all due.
func (o *outage) jump(d time.Duration) { o.now += d }

// fail ends the call that is out: the service is out of reach at this moment.
func (o *outage) fail() {
	o.out = false
	o.step(failedCall)
}

// answer ends the call that is out with the whole list.
func (o *outage) answer() {
	o.out = false
	o.step(listOf(lg.FullList, lg.Ready, 1))
}

// request brings one request and returns how often it was forwarded to a server. It comes on a connection
// that was open before: guards against timers that are late and run with the opening, ahead of the request.
func (o *outage) request() int {
	before, client := o.forwards, o.client
	o.step(CallerAsked{Leg: client, Name: fmt.Sprint("r", client), Deadline: o.now + 2*time.Second, Payload: 1})
	if !o.holds {
		o.step(CallerClosed{Leg: client})
	}
	o.connect()
	return o.forwards - before
}

// connect opens the client's connection for the next request.
func (o *outage) connect() {
	o.client++
	o.step(CallerOpened{Leg: o.client})
}

// failTwice breaks the watch that is out and fails the call after it.
func (o *outage) failTwice() {
	o.pass(time.Second)
	o.fail()
	for !o.out {
		o.pass(10 * ms)
	}
	o.pass(ms)
	o.fail()
}

// afterNews is longer than a list may be used for from the last moment at which the service was known to be
// out of reach.
const afterNews = listcalls.NewsBy + drainGrace + slack + 10*ms

// afterSilence is the same from the end of a watch's wait.
const afterSilence = 2*time.Second + drainGrace + slack + 10*ms

// Guards against requests that are forwarded by a list so old that changes count as notified which it lacks,
// because calls for the list came too late, were never answered, or the reducer's timers were late.
func TestOutdatedListIsNotUsed(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(*outage) // up to the moment from which on nothing may be forwarded
	}{
		{"calls fail, then the service is silent towards this proxy", func(o *outage) {
			o.failTwice()
			o.control(2 * time.Second)
			o.pass(afterNews - 2*time.Second)
		}},
		{"calls fail, then timers are late", func(o *outage) {
			o.failTwice()
			o.jump(afterNews)
		}},
		{"calls fail, timers are late, a connection to the server is idle", func(o *outage) {
			o.failTwice()
			o.jump(afterNews - 500*ms) // the connection is used again in time, but closed by no timer
			o.request()
			o.jump(500 * ms)
		}},
		{"calls fail, the connection for a request comes up too late", func(o *outage) {
			o.failTwice()
			o.jump(afterNews - 900*ms)
			o.holds = true
			o.request()
			o.jump(900 * ms)
			before := o.forwards
			for _, leg := range o.dials {
				o.step(HopDialed{Leg: leg, OK: true})
			}
			o.holds = false
			if o.forwards != before {
				o.Error("forwarded once its connection came up")
			}
		}},
		{"a watch is silent", func(o *outage) {
			o.control(2 * time.Second)
			o.pass(o.began + o.wait + afterSilence - o.now)
		}},
		{"a watch is silent, timers are late", func(o *outage) {
			o.jump(o.wait + afterSilence)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := newHeard(t, 4)
			tc.play(o)
			o.refused()
		})
	}
	t.Run("a new process whose calls are never answered", func(t *testing.T) {
		o := newOutage(t, 4)
		o.pass(max(afterNews, o.began+o.wait+afterSilence-o.now))
		o.refused()
	})
}

// control holds that requests are forwarded up to a moment, so that what follows shows the list's age.
func (o *outage) control(until time.Duration) {
	o.Helper()
	o.pass(until)
	if o.request() != 1 {
		o.Errorf("not forwarded at %v, by a list that may be used", until)
	}
}

// refused holds that nothing is forwarded now and later, until the list service has answered.
func (o *outage) refused() {
	o.Helper()
	for _, later := range []time.Duration{0, 100 * ms, 5 * time.Second, time.Minute} {
		o.pass(later)
		if o.request() != 0 {
			o.Errorf("forwarded %v later, by an outdated list", later)
		}
	}
	if !o.out {
		o.Fatal("no call for the list is out")
	}
	o.answer()
	if o.request() != 1 {
		o.Error("not forwarded once the list service has answered")
	}
}

// Guards against a proxy that stops serving because the list service is out of reach: as long as calls fail,
// nothing counts as notified, and requests are forwarded by the list that there is.
func TestListServesThroughOutage(t *testing.T) {
	for _, tc := range []struct {
		fleet int
		takes time.Duration // a call, to fail
	}{{1, ms}, {24, ms}, {25, ms}, {83, ms}, {300, ms}, {900, ms}, {1, 2 * time.Second}, {24, 2 * time.Second}} {
		o := newHeard(t, tc.fleet)
		o.fail()
		end, refused := o.now+time.Minute, 0
		for at := o.now; o.now < end; o.pass(10 * ms) {
			if o.out && o.now-o.began >= tc.takes {
				o.fail()
			}
			if o.now-at < 250*ms {
				continue
			}
			if at = o.now; o.request() != 1 {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d proxies, calls fail after %v: %d of 240 requests not forwarded", tc.fleet, tc.takes,
				refused)
		}
	}
}
