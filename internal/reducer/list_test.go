package reducer

import (
	"strings"
	"testing"
	"time"

	lg "lilacglade"
)

// lister is a State of which only its calls for the server list and what it sends are looked at.
type lister struct {
	*testing.T
	s   *State
	now time.Duration
	out int // branches begun
	// lines is what was logged so far
	lines strings.Builder
}

func newLister(t *testing.T, change func(*Config)) *lister {
	cfg := testConfig()
	cfg.Discovery = "d"
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &lister{T: t, s: s, now: time.Hour}
}

// calls steps and returns the calls that it made.
func (l *lister) calls(ev Event) (all []Effect) {
	for _, e := range l.s.Step(l.now, ev) {
		switch e.Do {
		case Watch:
			all = append(all, e)
		case Dial:
			l.out++
		case Log:
			l.lines.WriteString(e.Text + "\n")
		}
	}
	return all
}

// next goes on until a call is made, and returns after how long; far beyond all times when none is.
func (l *lister) next(ev Event) (after time.Duration, e Effect) {
	began := l.now
	for calls := l.calls(ev); ; calls = l.calls(Woken{}) {
		if len(calls) > 1 {
			l.Fatalf("%d calls at once", len(calls))
		}
		if len(calls) == 1 || l.now-began > time.Hour {
			break
		}
		l.now += 10 * ms
	}
	return l.now - began, l.last()
}

func (l *lister) last() Effect {
	for _, e := range l.s.effects {
		if e.Do == Watch {
			return e
		}
	}
	return Effect{}
}

func listOf(kind lg.ListKind, state lg.State, ids ...lg.ServerID) ListTold {
	list := lg.List{Kind: kind}
	for _, id := range ids {
		list.Servers = append(list.Servers, lg.Server{ID: id, State: state, Weight: 1})
	}
	return ListTold{List: list}
}

var failedCall = ListTold{List: lg.List{Kind: lg.ListFailed}}

// TestSilentWatch covers the one clock of a watch: what it misses counts as told 2 s after its wait, so the
// next one is open well before that, on a connection of its own, each time. It does not wait for news: two in
// a row may fall silent.
func TestSilentWatch(t *testing.T) {
	for _, ask := range []bool{true, false} {
		l := newLister(t, func(cfg *Config) { cfg.Settings.AskForList = ask })
		l.next(listOf(lg.CachedList, lg.Ready, 1))
		l.next(listOf(lg.FullList, lg.Ready, 1))
		wait := l.last().At - l.now
		for i := range 3 {
			least, most := wait, wait+time.Second
			if i > 0 { // what follows a call that fell silent asks whether discovery answers at all
				least, most = time.Second, 5*time.Second
			}
			after, e := l.next(Woken{})
			if after < least || after > most || !e.Anew {
				t.Errorf("asking %t, miss %d: asked again after %v, anew %t; wait %v", ask, i, after, e.Anew, wait)
			}
			if e.At-l.now != 0 {
				t.Errorf("asking %t, miss %d: the next call may wait %v for news", ask, i, e.At-l.now)
			}
		}
		if after, e := l.next(listOf(lg.Changes, lg.Draining, 1)); after > 200*ms || e.Anew {
			t.Errorf("asking %t: after an answer asked after %v, anew %t", ask, after, e.Anew)
		}
	}
}

// TestSilentWholeList covers calls for the whole list, which never wait, whatever a watch may: what one
// misses counts as told 6 s after it fell silent, and by then the next one must be answered. A process that
// knows nothing asks so, and one whose discovery has moved, or told what can't be read.
func TestSilentWholeList(t *testing.T) {
	for name, begin := range map[string]func(*lister){
		"first": func(l *lister) {
			l.next(ListTold{List: lg.List{Kind: lg.CachedList}, Whole: true})
		},
		"moved": func(l *lister) {
			l.next(listOf(lg.CachedList, lg.Ready, 1))
			l.next(listOf(lg.FullList, lg.Ready, 1))
			l.next(Reloaded{Discovery: "other", MaxCallers: 9, MaxHops: 9})
		},
		"unread": func(l *lister) {
			l.next(listOf(lg.CachedList, lg.Ready, 1))
			l.next(listOf(lg.FullList, lg.Ready, 1))
			l.next(ListTold{List: lg.List{Kind: lg.ListFailed}, Whole: true})
		},
	} {
		l := newLister(t, func(cfg *Config) {
			cfg.Settings.AskForList, cfg.Settings.AskEvery = true, 10*time.Second
		})
		begin(l)
		if l.last().Do != Watch {
			t.Fatalf("%s: no call is out", name)
		}
		for i := range 3 {
			if after, e := l.next(Woken{}); after > 5*time.Second || !e.Anew {
				t.Errorf("%s, miss %d: asked again after %v, anew %t", name, i, after, e.Anew)
			}
		}
		l.next(listOf(lg.FullList, lg.Ready, 1))
		if wait := l.last().At - l.now; wait < 9*time.Second {
			t.Errorf("%s: the watch after it waits for %v", name, wait)
		}
	}
}

// TestWatchesEndInTurn guards against all proxies' calls in step, where they began together: at a start, or
// when there was news. They end one after the other; quiet ones are followed by ones that wait in full.
func TestWatchesEndInTurn(t *testing.T) {
	const proxies, every = 300, 10 * time.Second
	news, quiet := listOf(lg.Changes, lg.Ready, 2), listOf(lg.Changes, lg.Ready)
	for _, ask := range []bool{true, false} {
		var ends [10]int
		for me := range proxies {
			l := newLister(t, func(cfg *Config) {
				cfg.Settings.Me, cfg.Settings.Balancers = me, proxies
				cfg.Settings.AskForList, cfg.Settings.AskEvery = ask, every
			})
			l.next(listOf(lg.CachedList, lg.Ready, 1))
			wait := func(ev Event) time.Duration {
				l.next(ev)
				return l.last().At - l.now
			}
			first := l.last().At - l.now
			second, third := wait(quiet), wait(quiet)
			if whole := wait(quiet); second != whole || third != whole || first > whole {
				t.Fatalf("%d waits %v, then %v, %v and %v", me, first, second, third, whole)
			}
			if again := wait(news); again != first {
				t.Fatalf("%d waits %v at first and %v after news", me, first, again)
			}
			ends[min(9, 10*first/every)]++
		}
		for part, n := range ends {
			if ask && (n > proxies/5+1 || part > 1 && n < proxies/11) || !ask && n > 0 && part != 4 {
				t.Errorf("asking %t: %v of the first watches end in each tenth of the time", ask, ends)
			}
		}
	}
}

// TestBrokenWatch covers watches of all proxies that break together: each is opened again soon, in its
// proxy's turn where that is known to cost something, and after a second failure again after what
// discovery needs for all proxies, however many those are and however many calls have failed: news count as
// told 6 s after it is back.
func TestBrokenWatch(t *testing.T) {
	for _, tc := range []struct {
		me, of       int
		took         time.Duration
		least, most  time.Duration
		second, push bool
		none         bool // no grace is named
		guess        bool // no whole list has come
	}{
		{me: 0, of: 4, took: 10 * ms},
		{me: 3, of: 4, took: 10 * ms, least: 10 * ms, most: 40 * ms},
		{me: 299, of: 300, took: 100 * ms, least: 1900 * ms, most: 2 * time.Second},
		{me: 3, of: 4, guess: true, least: 100 * ms, most: 400 * ms},
		{me: 150, of: 300, guess: true, least: 900 * ms, most: time.Second},
		{me: 0, of: 4, took: 10 * ms, least: 200 * ms, most: 500 * ms, second: true},
		{me: 299, of: 300, took: 100 * ms, least: 1500 * ms, most: 2500 * ms, second: true},
		{me: 3, of: 4, took: 10 * ms, least: 10 * ms, most: 90 * ms, second: true, push: true},
		{me: 3, of: 4, took: 10 * ms, least: 20 * ms, most: 90 * ms, second: true, push: true, none: true},
	} {
		l := newLister(t, func(cfg *Config) {
			cfg.Settings.Me, cfg.Settings.Balancers, cfg.Settings.AskForList = tc.me, tc.of, !tc.push
			if cfg.Settings.DrainGrace = 250 * ms; tc.none {
				cfg.Settings.DrainGrace = 0
			}
		})
		l.next(listOf(lg.CachedList, lg.Ready, 1))
		l.now += tc.took
		kind := lg.FullList
		if tc.guess {
			kind = lg.Changes
		}
		l.next(listOf(kind, lg.Ready, 1))
		after, e := l.next(failedCall)
		if tc.second {
			after, e = l.next(failedCall)
		}
		if after < tc.least || after > tc.most || e.Anew {
			t.Errorf("%+v: asked again after %v", tc, after)
		}
	}
}

// TestPushedListCountsFromTheStart guards against sending by a list from before where lists are pushed: what
// discovery has counts as told from a process's first moment. Where it does not answer, what is known
// counts.
func TestPushedListCountsFromTheStart(t *testing.T) {
	for _, answers := range []bool{true, false} {
		l := newLister(t, func(cfg *Config) {
			cfg.Settings.AskForList, cfg.Confirm = false, time.Hour+3*time.Second
		})
		if calls := l.calls(listOf(lg.CachedList, lg.Ready, 1)); len(calls) != 1 {
			t.Fatalf("%d calls at the start", len(calls))
		}
		ask := func(leg LegID) {
			l.calls(CallerOpened{leg})
			l.calls(CallerAsked{Leg: leg, Name: string(rune('a' + leg)), Deadline: l.now + 800*ms})
		}
		ask(1)
		if l.out > 0 || l.s.Ready() {
			t.Fatal("sent, or ready, by what was known from before")
		}
		if answers {
			l.calls(listOf(lg.FullList, lg.Draining, 1))
			ask(2)
			if l.out > 0 {
				t.Error("sent to a server that drains")
			}
			l.calls(listOf(lg.Changes, lg.Ready, 2))
		} else {
			l.calls(failedCall)
			l.now = time.Hour + 3*time.Second
			l.calls(Woken{})
		}
		if ask(3); l.out == 0 || !l.s.Ready() {
			t.Errorf("discovery answers %t: nothing is sent", answers)
		}
	}
}

// TestLateAnswer covers an answer that came in the moment in which its call was given up: it counts, and the
// call that replaced it is still owed its own.
func TestLateAnswer(t *testing.T) {
	l := newLister(t, nil)
	l.next(listOf(lg.CachedList, lg.Ready, 1))
	l.next(listOf(lg.FullList, lg.Ready, 1))
	l.next(Woken{}) // it has fallen silent: another one is out
	late := listOf(lg.Changes, lg.Draining, 1)
	if late.Late = true; len(l.calls(late)) != 0 || !l.s.list.Out() || l.s.Ready() {
		t.Errorf("watching %t, ready by a server that drains %t", l.s.list.Out(), l.s.Ready())
	}
	if after, _ := l.next(listOf(lg.Changes, lg.Draining, 1)); after > 200*ms {
		t.Errorf("its own answer led to the next call after %v", after)
	}
}

// TestPushedListIsWatchedAfterAnOutage guards against resting, after calls that failed, for as long as all
// proxies' calls would take a discovery that is one for all: what is pushed counts as told meanwhile.
func TestPushedListIsWatchedAfterAnOutage(t *testing.T) {
	for _, kind := range []lg.ListKind{lg.FullList, lg.Changes} {
		l := newLister(t, func(cfg *Config) {
			cfg.Settings.Balancers, cfg.Settings.AskForList, cfg.Settings.DrainGrace = 300, false, 250*ms
		})
		l.calls(listOf(lg.CachedList, lg.Ready, 1))
		l.now += 10 * ms
		l.next(listOf(lg.FullList, lg.Ready, 1))
		l.next(failedCall)
		l.now += 10 * ms
		if after, _ := l.next(listOf(kind, lg.Ready, 1)); after > 100*ms {
			t.Errorf("kind %d: asked again after %v", kind, after)
		}
	}
}
