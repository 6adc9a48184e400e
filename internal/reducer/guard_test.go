package reducer

import (
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/sendguard"
)

// stubborn is a decider that sends a request to the given servers in turn, whatever became of it.
type stubborn struct {
	servers []lg.ServerID
	sent    int
}

func (d *stubborn) Handle(_ time.Duration, ev lg.Event) []lg.Action {
	var id lg.RequestID
	switch ev := ev.(type) {
	case lg.Request:
		id = ev.ID
	case lg.Outcome:
		if ev.Closed {
			return nil
		}
		if id = ev.Request; ev.Result == lg.Moot || d.sent == len(d.servers) {
			return []lg.Action{{Do: lg.Refuse, Request: id}}
		}
	default:
		return nil
	}
	d.sent++
	return []lg.Action{{Do: lg.Send, Request: id, Server: d.servers[d.sent-1]}}
}

// guarded is a proxy whose decider errs, and what it sends and answers.
type guarded struct {
	*testing.T
	s        *State
	now      time.Duration
	forwards []lg.ServerID
	verdicts []Verdict
	last     LegID // that was written to
}

// step takes an event; whatever is dialed comes up, and what is forwarded is written.
func (g *guarded) step(ev Event) {
	g.now += ms
	events := []Event{ev}
	for len(events) > 0 {
		var next []Event
		for _, e := range g.s.Step(g.now, events[0]) {
			switch e.Do {
			case Dial:
				next = append(next, HopDialed{Leg: e.Leg, OK: true})
			case Forward:
				g.forwards, g.last = append(g.forwards, g.s.legs[e.Leg].Hop.ID), e.Leg
				next = append(next, HopWritten{Leg: e.Leg, OK: true})
			case AnswerCaller:
				g.verdicts = append(g.verdicts, e.Verdict)
			}
		}
		events = append(events[1:], next...)
	}
}

// TestGuard holds that no decision, however wrong, has the proxy break a rule, and that it is counted.
func TestGuard(t *testing.T) {
	for _, tc := range []struct {
		name     string
		class    lg.Class
		servers  []lg.ServerID
		between  func(*guarded) // the first attempt and its end
		forwards int
		rule     sendguard.Rule
		verdict  Verdict
	}{
		{"unsafe, once more", lg.Class{Effect: lg.Unsafe}, []lg.ServerID{1, 2}, nil, 1, sendguard.Repeated, Broken},
		{"keyed, in its zone", lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second},
			[]lg.ServerID{1, 3}, nil, 2, sendguard.None, Broken},
		{"keyed, in its zone, whose first server is listed no more",
			lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second}, []lg.ServerID{1, 3},
			func(g *guarded) { g.step(listOf(lg.Changes, lg.Gone, 1)) }, 2, sendguard.None, Broken},
		{"keyed, in another zone", lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second},
			[]lg.ServerID{1, 2}, nil, 1, sendguard.Repeated, Broken},
		{"keyed, after its window", lg.Class{Effect: lg.Keyed, Memory: 10 * ms}, []lg.ServerID{1, 2},
			func(g *guarded) { g.now += 20 * ms }, 1, sendguard.Repeated, Broken},
		{"safe, any number of times", lg.Class{Effect: lg.Safe}, []lg.ServerID{1, 2, 3}, nil, 3, sendguard.None,
			Broken},
	} {
		tc.class.Aim, tc.class.Deadline, tc.class.Worth = time.Second, time.Second, 1
		cfg := testConfig()
		cfg.Settings.Classes = []lg.Class{tc.class}
		cfg.Decider = &stubborn{servers: tc.servers}
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		g := &guarded{T: t, s: s, now: time.Hour}
		list := lg.List{Kind: lg.FullList}
		for id := lg.ServerID(1); id <= 3; id++ {
			list.Servers = append(list.Servers, lg.Server{ID: id, Zone: int(id) % 2, Weight: 1})
		}
		g.step(ListTold{List: list})
		g.step(CallerOpened{Leg: 1})
		g.step(CallerAsked{Leg: 1, Name: "r", Deadline: g.now + time.Second, Payload: 1})
		for range tc.servers {
			if tc.between != nil {
				tc.between(g)
			}
			g.step(HopClosed{Leg: g.last})
		}
		if len(g.forwards) != tc.forwards {
			t.Errorf("%s: sent to %v, want %d times", tc.name, g.forwards, tc.forwards)
		}
		if len(g.verdicts) != 1 || g.verdicts[0] != tc.verdict {
			t.Errorf("%s: answered with %v, want %v once", tc.name, g.verdicts, tc.verdict)
		}
		want := sendguard.Counts{}
		if tc.rule != sendguard.None {
			want[tc.rule] = 1
		}
		if got := s.Violations(); got != want {
			t.Errorf("%s: violations %v, want %v", tc.name, got, want)
		}
	}
}

// TestUnsent holds that an attempt of which nothing was written is decided anew while its client waits, and
// forgotten once it has left.
func TestUnsent(t *testing.T) {
	for _, left := range []bool{false, true} {
		cfg := testConfig()
		cfg.Settings.Classes = []lg.Class{{Effect: lg.Unsafe, Aim: time.Second, Deadline: time.Second, Worth: 1}}
		cfg.Decider = &stubborn{servers: []lg.ServerID{1}}
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Hour, listOf(lg.FullList, lg.Ready, 1))
		s.Step(time.Hour, CallerOpened{Leg: 1})
		s.Step(time.Hour, CallerAsked{Leg: 1, Name: "r", Deadline: time.Hour + time.Second, Payload: 1})
		forwards := func(ev Event) (n int) {
			for _, e := range s.Step(time.Hour+10*ms, ev) {
				if e.Do == Forward {
					n++
				}
			}
			return n
		}
		if n := forwards(HopDialed{Leg: 1, OK: true}); n != 1 {
			t.Fatalf("sent %d times", n)
		}
		want := 1
		if left {
			forwards(CallerClosed{Leg: 1})
			want = 0
		}
		if n := forwards(HopUnsent{Leg: 1}); n != want {
			t.Errorf("left %t: sent %d times more, want %d", left, n, want)
		}
		if _, open := s.names["r"]; open == left {
			t.Errorf("left %t: remembered %t", left, open)
		}
	}
}
