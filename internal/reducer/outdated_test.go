package reducer

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/listcalls"
)

// drainGrace is the grace for draining servers in the settings of these tests, and slack what the
// protocol adds to each limit.
const (
	drainGrace = 250 * ms
	slack      = 50 * ms
)

// firstServer is a decider that sends each request to server 1, once, and rejects it unless that
// succeeds.
type firstServer struct{}

func (firstServer) Handle(_ time.Duration, ev lg.Event) []lg.Action {
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

// outageTest drives a proxy with events in a given order. Its servers do everything that is asked of
// them; each test decides what becomes of its calls for the list.
type outageTest struct {
	*testing.T
	s            *State
	now          time.Duration
	client       ConnID // connection of the next request
	forwards     int
	delayedDials []ConnID      // not completed yet
	delayDials   bool          // dials don't complete
	callPending  bool          // a call for the list is open,
	callStart    time.Duration // since this time,
	wait         time.Duration // and may wait this long
}

// newOutageTest returns a proxy in a fleet of the given size that has a cached list and makes its first
// call for the list.
func newOutageTest(t *testing.T, fleet int) *outageTest {
	t.Helper()
	cfg := testConfig()
	cfg.Discovery, cfg.Decider = "d", firstServer{}
	cfg.Settings.Me, cfg.Settings.Balancers = fleet-1, fleet
	cfg.Settings.AskEvery, cfg.Settings.DrainGrace = 10*time.Second, drainGrace
	cfg.Settings.ConnectTimeout = time.Second
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	o := &outageTest{T: t, s: s, now: time.Hour}
	o.step(listOf(lg.CachedList, lg.Ready, 1))
	o.s.scheduleFirstCall()
	o.connect()
	for !o.callPending {
		o.advance(10 * ms)
	}
	return o
}

// newUpdatedOutageTest returns a proxy whose first call was answered and whose watch is open.
func newUpdatedOutageTest(t *testing.T, fleet int) *outageTest {
	t.Helper()
	o := newOutageTest(t, fleet)
	o.answerCall()
	for !o.callPending {
		o.advance(10 * ms)
	}
	return o
}

// step takes an event now, and the events that follow from its effects.
func (o *outageTest) step(ev Event) {
	events := []Event{ev}
	for len(events) > 0 {
		var next []Event
		for _, e := range o.s.Step(o.now, events[0]) {
			next = append(next, o.carryOut(e)...)
		}
		events = append(events[1:], next...)
	}
}

// carryOut carries out an effect and returns the events that follow.
func (o *outageTest) carryOut(effect Effect) []Event {
	switch effect.Do {
	case Watch:
		o.callPending, o.callStart, o.wait = true, o.now, effect.At-o.now
		return []Event{ListConnected{}} // the service accepts the connection, whether or not it answers
	case Dial:
		if !o.delayDials {
			return []Event{ServerDialed{Conn: effect.Conn, OK: true}}
		}
		o.delayedDials = append(o.delayedDials, effect.Conn)
	case Forward:
		o.forwards++
		return []Event{RequestWritten{Conn: effect.Conn, OK: true},
			ServerAnswered{Conn: effect.Conn, Result: lg.OK, Reusable: true}}
	case AnswerClient:
		return []Event{ResponseWritten{Conn: effect.Conn, OK: true}}
	}
	return nil
}

// advance lets time pass with the reducer's timers on time.
func (o *outageTest) advance(duration time.Duration) {
	for end := o.now + duration; o.now < end; {
		o.now = min(end, o.now+10*ms)
		o.step(TimerFired{})
	}
}

// skip lets time pass while the reducer's timers are late: the next event finds all of them due.
func (o *outageTest) skip(duration time.Duration) { o.now += duration }

// failCall ends the open call as failed: the service is unreachable now.
func (o *outageTest) failCall() {
	o.callPending = false
	o.step(failedCall)
}

// answerCall answers the open call with the full list.
func (o *outageTest) answerCall() {
	o.callPending = false
	o.step(listOf(lg.FullList, lg.Ready, 1))
}

// request brings one request and returns how often it was forwarded to a server. It arrives on a
// connection that was opened before. Otherwise late timers would run with the opening, before the
// request.
func (o *outageTest) request() int {
	before, client := o.forwards, o.client
	o.step(RequestReceived{Conn: client, Name: fmt.Sprint("r", client), Deadline: o.now + 2*time.Second,
		Payload: 1})
	if !o.delayDials {
		o.step(ClientClosed{Conn: client})
	}
	o.connect()
	return o.forwards - before
}

// connect opens the client connection of the next request.
func (o *outageTest) connect() {
	o.client++
	o.step(ClientOpened{Conn: o.client})
}

// failTwice fails the open watch and the call after it.
func (o *outageTest) failTwice() {
	o.advance(time.Second)
	o.failCall()
	for !o.callPending {
		o.advance(10 * ms)
	}
	o.advance(ms)
	o.failCall()
}

// leaseAfterFailure is longer than the list may be used after the last time at which the service was
// known to be unreachable.
const leaseAfterFailure = listcalls.NotifiedAfter + drainGrace + slack + 10*ms

// leaseAfterWatch is longer than the list may be used after the end of a watch's wait.
const leaseAfterWatch = 2*time.Second + drainGrace + slack + 10*ms

// TestOutdatedListIsNotUsed checks that no request is forwarded by a list that may lack changes which
// count as notified. That happens if calls for the list come too late or are never answered, or if the
// reducer's timers are late.
func TestOutdatedListIsNotUsed(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(*outageTest) // up to the time from which on nothing may be forwarded
	}{
		{"calls fail, then the service is silent towards this proxy", func(o *outageTest) {
			o.failTwice()
			o.checkForwarded(2 * time.Second)
			o.advance(leaseAfterFailure - 2*time.Second)
		}},
		{"calls fail, then timers are late", func(o *outageTest) {
			o.failTwice()
			o.skip(leaseAfterFailure)
		}},
		{"calls fail, timers are late, a connection to the server is idle", func(o *outageTest) {
			o.failTwice()
			o.skip(leaseAfterFailure - 500*ms) // the connection is reused in time, and closed by no timer
			o.request()
			o.skip(500 * ms)
		}},
		{"calls fail, the connection for a request comes up too late", func(o *outageTest) {
			o.failTwice()
			o.skip(leaseAfterFailure - 900*ms)
			o.delayDials = true
			o.request()
			o.skip(900 * ms)
			before := o.forwards
			for _, conn := range o.delayedDials {
				o.step(ServerDialed{Conn: conn, OK: true})
			}
			o.delayDials = false
			if o.forwards != before {
				o.Error("forwarded once its connection came up")
			}
		}},
		{"a watch is silent", func(o *outageTest) {
			o.checkForwarded(2 * time.Second)
			o.advance(o.callStart + o.wait + leaseAfterWatch - o.now)
		}},
		{"a watch is silent, timers are late", func(o *outageTest) {
			o.skip(o.wait + leaseAfterWatch)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := newUpdatedOutageTest(t, 4)
			tc.run(o)
			o.checkNotForwarded()
		})
	}
	t.Run("a new process whose calls are never answered", func(t *testing.T) {
		o := newOutageTest(t, 4)
		o.advance(max(leaseAfterFailure, o.callStart+o.wait+leaseAfterWatch-o.now))
		o.checkNotForwarded()
	})
}

// checkForwarded checks that requests are forwarded up to a point in time, so that later rejections are
// due to the age of the list.
func (o *outageTest) checkForwarded(duration time.Duration) {
	o.Helper()
	o.advance(duration)
	if o.request() != 1 {
		o.Errorf("not forwarded at %v, by a list that may be used", duration)
	}
}

// checkNotForwarded checks that nothing is forwarded now and later, until the list service has
// answered.
func (o *outageTest) checkNotForwarded() {
	o.Helper()
	for _, delay := range []time.Duration{0, 100 * ms, 5 * time.Second, time.Minute} {
		o.advance(delay)
		if o.request() != 0 {
			o.Errorf("forwarded %v later, by an outdated list", delay)
		}
	}
	if !o.callPending {
		o.Fatal("no call for the list is open")
	}
	o.answerCall()
	if o.request() != 1 {
		o.Error("not forwarded once the list service has answered")
	}
}

// TestListServesThroughOutage checks that a proxy goes on serving while the list service is
// unreachable: as long as calls fail, nothing counts as notified, and requests are forwarded by the
// existing list.
func TestListServesThroughOutage(t *testing.T) {
	for _, tc := range []struct {
		fleet    int
		callTime time.Duration // until a call fails
	}{{1, ms}, {24, ms}, {25, ms}, {83, ms}, {300, ms}, {900, ms}, {1, 2 * time.Second}, {24, 2 * time.Second}} {
		o := newUpdatedOutageTest(t, tc.fleet)
		o.failCall()
		end, notForwarded := o.now+time.Minute, 0
		for lastRequest := o.now; o.now < end; o.advance(10 * ms) {
			if o.callPending && o.now-o.callStart >= tc.callTime {
				o.failCall()
			}
			if o.now-lastRequest < 250*ms {
				continue
			}
			if lastRequest = o.now; o.request() != 1 {
				notForwarded++
			}
		}
		if notForwarded > 0 {
			t.Errorf("%d proxies, calls fail after %v: %d of 240 requests not forwarded", tc.fleet, tc.callTime,
				notForwarded)
		}
	}
}
