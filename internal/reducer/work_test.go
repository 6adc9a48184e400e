package reducer

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/fencing"
)

// settleWork is a State that knows three machines, and a way to step it.
func settleWork(t *testing.T) (*State, func(ev Event, at time.Duration) []Effect) {
	cfg := testConfig()
	cfg.Work, cfg.Figures = true, true
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	step := func(ev Event, at time.Duration) []Effect { return append([]Effect(nil), s.Step(at, ev)...) }
	step(ListTold{List: lg.List{Kind: lg.FullList, Servers: []lg.Server{{ID: 1}, {ID: 2}, {ID: 3}}}},
		time.Hour)
	return s, step
}

// reaches has requests come and be answered; it tells whether one is sent to a machine.
func (s *State) reaches(step func(Event, time.Duration) []Effect, id lg.ServerID, at time.Duration,
	leg *LegID) (got bool) {
	for range 60 {
		*leg++
		step(CallerOpened{*leg}, at)
		todo := step(CallerAsked{Leg: *leg, Name: fmt.Sprint(*leg), Deadline: at + time.Second,
			Key: uint64(*leg) * 0x9e3779b97f4a7c15, HasKey: true}, at)
		for len(todo) > 0 {
			e := todo[0]
			todo = todo[1:]
			switch e.Do {
			case Dial:
				todo = append(todo, step(HopDialed{Leg: e.Leg, OK: true}, at)...)
			case Forward:
				got = got || s.legs[e.Leg].Hop.ID == id
				todo = append(todo, step(HopWritten{Leg: e.Leg, OK: true}, at)...)
				todo = append(todo, step(HopAnswered{Leg: e.Leg, Result: lg.OK, Keep: true}, at)...)
			}
		}
		step(CallerClosed{*leg}, at)
	}
	return got
}

// TestWorkHolds guards against a request at a machine that may be out: before the first lease, once it is
// marked, and at named ones once the lease has run out, however late the process looks at its clock.
func TestWorkHolds(t *testing.T) {
	s, step := settleWork(t)
	now, leg := time.Hour, LegID(0)
	if s.Ready() || s.reaches(step, 1, now, &leg) {
		t.Error("served before the first lease")
	}
	f := fencing.Restrictions[lg.ServerID]{Index: 3, Named: []lg.ServerID{1, 2}, LeaseUntil: now + 3*time.Second,
		Grace: time.Second, Marked: []fencing.Mark[lg.ServerID]{{Machine: 1, Grant: 2}}}
	step(Settled{Facts: f}, now)
	if !s.Ready() || s.reaches(step, 1, now, &leg) || !s.reaches(step, 2, now, &leg) {
		t.Error("a marked machine gets requests, or a named one none")
	}
	// Discovery that lists it as ready again changes nothing.
	step(ListTold{List: lg.List{Kind: lg.FullList, Servers: []lg.Server{{ID: 1}, {ID: 2}, {ID: 3}}}}, now)
	if s.reaches(step, 1, now, &leg) {
		t.Error("discovery's word goes before what was settled")
	}
	// The process was paused for longer than its lease: the first event then is a request.
	now += 10 * time.Second
	if s.reaches(step, 2, now, &leg) || !s.reaches(step, 3, now, &leg) {
		t.Error("a paused process begins at a machine that may be out")
	}
	f.Index, f.Marked, f.Named, f.LeaseUntil = 4, nil, nil, now+3*time.Second
	step(Settled{Facts: f}, now)
	if !s.reaches(step, 1, now, &leg) || !s.reaches(step, 2, now, &leg) {
		t.Error("not sent to again")
	}
}

// TestWorkClear covers when nothing is left at a marked machine: not while a leg is there, also where
// discovery has dropped the machine and listed it again; and what stays open after the lease is cut.
func TestWorkClear(t *testing.T) {
	for _, tc := range []struct{ relist, lapse bool }{{false, false}, {true, false}, {false, true}} {
		s, step := settleWork(t)
		now := time.Hour
		f := fencing.Restrictions[lg.ServerID]{Index: 3, Named: []lg.ServerID{1, 2, 3},
			LeaseUntil: now + time.Second, Grace: time.Second}
		step(Settled{Facts: f}, now)
		step(CallerOpened{1}, now)
		var at lg.ServerID
		var hop LegID
		for _, e := range step(CallerAsked{Leg: 1, Name: "a", Deadline: now + 10*time.Second}, now) {
			if e.Do == Dial {
				at, hop = e.Server, e.Leg
			}
		}
		step(HopDialed{Leg: hop, OK: true}, now)
		step(HopWritten{Leg: hop, OK: true}, now)
		f.Index, f.Marked = 4, []fencing.Mark[lg.ServerID]{{Machine: at, Grant: 4}}
		step(Settled{Facts: f}, now)
		if tc.relist {
			step(ListTold{List: lg.List{Kind: lg.Changes, Servers: []lg.Server{{ID: at, State: lg.Gone}}}}, now)
			step(ListTold{List: lg.List{Kind: lg.Changes, Servers: []lg.Server{{ID: at}}}}, now)
		}
		cleared := func(effects []Effect) bool {
			for _, e := range effects {
				if e.Do == Stop && len(e.Payload.(Stopped).Clear) > 0 {
					return true
				}
			}
			return false
		}
		clear := false
		for range 100 {
			now += stopEvery / 2
			clear = clear || cleared(step(Woken{}, now))
		}
		if clear || len(s.legs) != 1 {
			t.Errorf("%+v: clear with a request there", tc)
		}
		if tc.lapse {
			if now += 2 * time.Second; !cleared(step(Woken{}, now)) && !cleared(step(Woken{}, now+stopEvery)) {
				t.Errorf("%+v: not cut after the lease and the longest deadline", tc)
			}
			continue
		}
		done := step(HopAnswered{Leg: hop, Result: lg.OK, Keep: true}, now)
		if !cleared(append(done, step(Woken{}, now+2*stopEvery)...)) {
			t.Errorf("%+v: never clear", tc)
		}
	}
}

// TestOwnMachineGoesOut covers a proxy that is to go out itself: it is not ready, serves what still comes,
// each answer its leg's last, and says that it is empty only when it is; from then on it takes nothing.
func TestOwnMachineGoesOut(t *testing.T) {
	s, step := settleWork(t)
	now := time.Hour
	f := fencing.Restrictions[lg.ServerID]{Index: 3, LeaseUntil: now + time.Minute, Grace: time.Second}
	step(Settled{Facts: f}, now)
	step(CallerOpened{1}, now)
	step(CallerOpened{2}, now)
	var hop LegID
	for _, e := range step(CallerAsked{Leg: 1, Name: "a", Deadline: now + 10*time.Second}, now) {
		if e.Do == Dial {
			hop = e.Leg
		}
	}
	step(HopDialed{Leg: hop, OK: true}, now)
	step(HopWritten{Leg: hop, OK: true}, now)
	f.Index = 4
	step(Settled{Facts: f, Own: 4}, now)
	empty := func(long time.Duration) (got bool) {
		for end := now + long; now < end; now += drainEvery {
			for _, e := range step(Woken{}, now) {
				got = got || e.Do == Stop && e.Payload.(Stopped).Own == 4
				if e.Do == EaseCaller {
					step(CallerQuiet{e.Leg}, now)
				}
			}
		}
		return got
	}
	if s.Ready() || empty(time.Second) {
		t.Error("ready, or empty with a request in work")
	}
	for _, e := range step(HopAnswered{Leg: hop, Result: lg.OK, Keep: true}, now) {
		if e.Do == AnswerCaller && !e.Last {
			t.Error("the leg stays open behind the answer")
		}
	}
	step(CallerWritten{Leg: 1, OK: true}, now)
	if !empty(2 * time.Second) {
		t.Error("never empty")
	}
	step(CallerOpened{3}, now)
	for _, e := range step(CallerAsked{Leg: 3, Name: "b", Deadline: now + 10*time.Second}, now) {
		if e.Do == Dial || e.Do == AnswerCaller && e.Verdict != Busy {
			t.Error("takes a request after it was empty")
		}
	}
	f.Index = 5
	if step(Settled{Facts: f}, now); !s.Ready() {
		t.Error("not ready again after the order was given up")
	}
}

// TestNoPeersCostNothing guards against work on a request's path where no proxies talk to each other.
func TestNoPeersCostNothing(t *testing.T) {
	s, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	if s.work != nil {
		t.Error("there is something to look at")
	}
	for _, e := range s.Step(time.Hour,
		Settled{Facts: fencing.Restrictions[lg.ServerID]{Index: 1, LeaseUntil: 1}}) {
		if e.Do == Stop {
			t.Error("facts were taken in")
		}
	}
}
