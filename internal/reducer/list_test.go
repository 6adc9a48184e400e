package reducer

import (
	"strings"
	"testing"
	"time"

	lg "lilacglade"
)

// listTest drives a State and records its calls for the server list and the dials of its attempts.
type listTest struct {
	*testing.T
	s     *State
	now   time.Duration
	dials int // attempts begun
	// log is everything logged so far.
	log strings.Builder
}

func newListTest(t *testing.T, change func(*Config)) *listTest {
	cfg := testConfig()
	cfg.Discovery = "d"
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &listTest{T: t, s: s, now: time.Hour}
}

// step takes an event and returns the calls that it made.
func (l *listTest) step(ev Event) (all []Effect) {
	for _, e := range l.s.Step(l.now, ev) {
		switch e.Do {
		case Watch:
			all = append(all, e)
		case Dial:
			l.dials++
		case Log:
			l.log.WriteString(e.Text + "\n")
		}
	}
	return all
}

// nextCall advances until a call is made and returns after which time; over an hour if none is.
func (l *listTest) nextCall(ev Event) (after time.Duration, e Effect) {
	start := l.now
	for calls := l.step(ev); ; calls = l.step(TimerFired{}) {
		if len(calls) > 1 {
			l.Fatalf("%d calls at once", len(calls))
		}
		if len(calls) == 1 || l.now-start > time.Hour {
			break
		}
		l.now += 10 * ms
	}
	return l.now - start, l.lastCall()
}

func (l *listTest) lastCall() Effect {
	for _, e := range l.s.effects {
		if e.Do == Watch {
			return e
		}
	}
	return Effect{}
}

func listOf(kind lg.ListKind, state lg.State, ids ...lg.ServerID) ListReceived {
	list := lg.List{Kind: kind}
	for _, id := range ids {
		list.Servers = append(list.Servers, lg.Server{ID: id, State: state, Weight: 1})
	}
	return ListReceived{List: list}
}

var failedCall = ListReceived{List: lg.List{Kind: lg.ListFailed}}

// TestUnansweredWatch covers watches that get no answer. Changes that such a watch misses count as
// notified 2 s after its wait, so the next call is made well before that, on a new connection each
// time. It does not wait for changes, as two in a row may go unanswered.
func TestUnansweredWatch(t *testing.T) {
	for _, ask := range []bool{true, false} {
		l := newListTest(t, func(cfg *Config) { cfg.Settings.AskForList = ask })
		l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
		l.nextCall(listOf(lg.FullList, lg.Ready, 1))
		wait := l.lastCall().At - l.now
		for i := range 3 {
			minAfter, maxAfter := wait, wait+time.Second
			if i > 0 { // a call after an unanswered one shows whether discovery answers at all
				minAfter, maxAfter = time.Second, 5*time.Second
			}
			after, e := l.nextCall(TimerFired{})
			if after < minAfter || after > maxAfter || !e.NewConn {
				t.Errorf("asking %t, miss %d: next call after %v, new connection %t; wait %v", ask, i, after,
					e.NewConn, wait)
			}
			if e.At-l.now != 0 {
				t.Errorf("asking %t, miss %d: the next call may wait %v for changes", ask, i, e.At-l.now)
			}
		}
		if after, e := l.nextCall(listOf(lg.Changes, lg.Draining, 1)); after > 200*ms || e.NewConn {
			t.Errorf("asking %t: next call after an answer after %v, new connection %t", ask, after, e.NewConn)
		}
	}
}

// TestUnansweredFullListCall covers calls for the full list that get no answer. They never wait,
// however long a watch may. Changes that such a call misses count as notified 6 s after it, and by then
// the next one must be answered. Such calls are made by a process that has no list, after discovery has
// moved, and after an unreadable document.
func TestUnansweredFullListCall(t *testing.T) {
	for name, begin := range map[string]func(*listTest){
		"first": func(l *listTest) {
			l.nextCall(ListReceived{List: lg.List{Kind: lg.CachedList}, NextFull: true})
		},
		"moved": func(l *listTest) {
			l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
			l.nextCall(listOf(lg.FullList, lg.Ready, 1))
			l.nextCall(Reloaded{Discovery: "other", MaxClients: 9, MaxServerConns: 9})
		},
		"unread": func(l *listTest) {
			l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
			l.nextCall(listOf(lg.FullList, lg.Ready, 1))
			l.nextCall(ListReceived{List: lg.List{Kind: lg.ListFailed}, NextFull: true})
		},
	} {
		l := newListTest(t, func(cfg *Config) {
			cfg.Settings.AskForList, cfg.Settings.AskEvery = true, 10*time.Second
		})
		begin(l)
		if l.lastCall().Do != Watch {
			t.Fatalf("%s: no call is open", name)
		}
		for i := range 3 {
			if after, e := l.nextCall(TimerFired{}); after > 5*time.Second || !e.NewConn {
				t.Errorf("%s, miss %d: next call after %v, new connection %t", name, i, after, e.NewConn)
			}
		}
		l.nextCall(listOf(lg.FullList, lg.Ready, 1))
		if wait := l.lastCall().At - l.now; wait < 9*time.Second {
			t.Errorf("%s: the watch after it waits for %v", name, wait)
		}
	}
}

// TestWatchesAreSpread checks that the watches of all proxies that began together, at a start or after
// a change, end at different times. Otherwise all proxies would go on calling at the same time. A watch
// that ends without a change is followed by one with the full wait.
func TestWatchesAreSpread(t *testing.T) {
	const proxies, every = 300, 10 * time.Second
	update, quiet := listOf(lg.Changes, lg.Ready, 2), listOf(lg.Changes, lg.Ready)
	for _, ask := range []bool{true, false} {
		var ends [10]int
		for me := range proxies {
			l := newListTest(t, func(cfg *Config) {
				cfg.Settings.Me, cfg.Settings.Balancers = me, proxies
				cfg.Settings.AskForList, cfg.Settings.AskEvery = ask, every
			})
			l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
			wait := func(ev Event) time.Duration {
				l.nextCall(ev)
				return l.lastCall().At - l.now
			}
			first := l.lastCall().At - l.now
			second, third := wait(quiet), wait(quiet)
			if full := wait(quiet); second != full || third != full || first > full {
				t.Fatalf("%d waits %v, then %v, %v and %v", me, first, second, third, full)
			}
			if again := wait(update); again != first {
				t.Fatalf("%d waits %v at first and %v after a change", me, first, again)
			}
			ends[min(9, 10*first/every)]++
		}
		for tenth, n := range ends {
			if ask && (n > proxies/5+1 || tenth > 1 && n < proxies/11) || !ask && n > 0 && tenth != 4 {
				t.Errorf("asking %t: %v of the first watches end in each tenth of the time", ask, ends)
			}
		}
	}
}

// TestFailedWatch covers watches of all proxies that fail together. Each is opened again soon, one proxy
// after the other if a call is known to cost discovery time. After a second failure, the next call
// comes after the time that discovery needs for all proxies, however many calls have failed: changes
// count as notified 6 s after discovery is back.
func TestFailedWatch(t *testing.T) {
	for _, tc := range []struct {
		me, proxies           int
		took                  time.Duration
		minAfter, maxAfter    time.Duration
		secondFailure, pushed bool
		noGrace               bool // the settings name no drain grace
		noFullList            bool // no full list was received
	}{
		{me: 0, proxies: 4, took: 10 * ms},
		{me: 3, proxies: 4, took: 10 * ms, minAfter: 10 * ms, maxAfter: 40 * ms},
		{me: 299, proxies: 300, took: 100 * ms, minAfter: 1900 * ms, maxAfter: 2 * time.Second},
		{me: 3, proxies: 4, noFullList: true, minAfter: 100 * ms, maxAfter: 400 * ms},
		{me: 150, proxies: 300, noFullList: true, minAfter: 900 * ms, maxAfter: time.Second},
		{me: 0, proxies: 4, took: 10 * ms, minAfter: 200 * ms, maxAfter: 500 * ms, secondFailure: true},
		{me: 299, proxies: 300, took: 100 * ms, minAfter: 1500 * ms, maxAfter: 2500 * ms, secondFailure: true},
		{me: 3, proxies: 4, took: 10 * ms, minAfter: 10 * ms, maxAfter: 90 * ms, secondFailure: true, pushed: true},
		{me: 3, proxies: 4, took: 10 * ms, minAfter: 20 * ms, maxAfter: 90 * ms, secondFailure: true, pushed: true,
			noGrace: true},
	} {
		l := newListTest(t, func(cfg *Config) {
			cfg.Settings.Me, cfg.Settings.Balancers, cfg.Settings.AskForList = tc.me, tc.proxies, !tc.pushed
			if cfg.Settings.DrainGrace = 250 * ms; tc.noGrace {
				cfg.Settings.DrainGrace = 0
			}
		})
		l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
		l.now += tc.took
		kind := lg.FullList
		if tc.noFullList {
			kind = lg.Changes
		}
		l.nextCall(listOf(kind, lg.Ready, 1))
		after, e := l.nextCall(failedCall)
		if tc.secondFailure {
			after, e = l.nextCall(failedCall)
		}
		if after < tc.minAfter || after > tc.maxAfter || e.NewConn {
			t.Errorf("%+v: next call after %v", tc, after)
		}
	}
}

// TestPushedListAtStart checks that where lists are pushed, no request is sent by a cached list until
// discovery has answered: what discovery has counts as notified as soon as the process starts. If
// discovery does not answer, the cached list is used.
func TestPushedListAtStart(t *testing.T) {
	for _, answers := range []bool{true, false} {
		l := newListTest(t, func(cfg *Config) {
			cfg.Settings.AskForList, cfg.ConfirmTimeout = false, time.Hour+3*time.Second
		})
		if calls := l.step(listOf(lg.CachedList, lg.Ready, 1)); len(calls) != 1 {
			t.Fatalf("%d calls at the start", len(calls))
		}
		request := func(conn ConnID) {
			l.step(ClientOpened{conn})
			l.step(RequestReceived{Conn: conn, Name: string(rune('a' + conn)), Deadline: l.now + 800*ms})
		}
		request(1)
		if l.dials > 0 || l.s.Ready() {
			t.Fatal("sent, or ready, by a cached list")
		}
		if answers {
			l.step(listOf(lg.FullList, lg.Draining, 1))
			request(2)
			if l.dials > 0 {
				t.Error("sent to a draining server")
			}
			l.step(listOf(lg.Changes, lg.Ready, 2))
		} else {
			l.step(failedCall)
			l.now = time.Hour + 3*time.Second
			l.step(TimerFired{})
		}
		if request(3); l.dials == 0 || !l.s.Ready() {
			t.Errorf("discovery answers %t: nothing is sent", answers)
		}
	}
}

// TestLateAnswer covers an answer that arrives just as its call is given up: it is applied, and the
// call that replaced it stays open until its own answer.
func TestLateAnswer(t *testing.T) {
	l := newListTest(t, nil)
	l.nextCall(listOf(lg.CachedList, lg.Ready, 1))
	l.nextCall(listOf(lg.FullList, lg.Ready, 1))
	l.nextCall(TimerFired{}) // it got no answer: the next one is open
	late := listOf(lg.Changes, lg.Draining, 1)
	if late.Late = true; len(l.step(late)) != 0 || !l.s.list.Pending() || l.s.Ready() {
		t.Errorf("watching %t, ready with only a draining server %t", l.s.list.Pending(), l.s.Ready())
	}
	if after, _ := l.nextCall(listOf(lg.Changes, lg.Draining, 1)); after > 200*ms {
		t.Errorf("its own answer led to the next call after %v", after)
	}
}

// TestPushedListIsWatchedAfterAnOutage checks that, where lists are pushed, the pause after failed
// calls is not the time that one discovery for all proxies would need for their calls: what is pushed
// in between counts as notified.
func TestPushedListIsWatchedAfterAnOutage(t *testing.T) {
	for _, kind := range []lg.ListKind{lg.FullList, lg.Changes} {
		l := newListTest(t, func(cfg *Config) {
			cfg.Settings.Balancers, cfg.Settings.AskForList, cfg.Settings.DrainGrace = 300, false, 250*ms
		})
		l.step(listOf(lg.CachedList, lg.Ready, 1))
		l.now += 10 * ms
		l.nextCall(listOf(lg.FullList, lg.Ready, 1))
		l.nextCall(failedCall)
		l.now += 10 * ms
		if after, _ := l.nextCall(listOf(kind, lg.Ready, 1)); after > 100*ms {
			t.Errorf("kind %d: next call after %v", kind, after)
		}
	}
}
