package reducer

import (
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/sendguard"
)

// fixedDecider is a decider that sends a request to the given servers in turn, whatever the results.
type fixedDecider struct {
	servers []lg.ServerID
	sent    int
}

func (d *fixedDecider) Handle(_ time.Duration, ev lg.Event) []lg.Action {
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

// sendCheckTest drives a proxy whose decider errs, and records what it sends and answers.
type sendCheckTest struct {
	*testing.T
	s        *State
	now      time.Duration
	forwards []lg.ServerID
	verdicts []Verdict
	lastConn ConnID // the connection of the last Forward
}

// step takes an event; whatever is dialed opens, and what is forwarded is written.
func (g *sendCheckTest) step(ev Event) {
	g.now += ms
	events := []Event{ev}
	for len(events) > 0 {
		var next []Event
		for _, e := range g.s.Step(g.now, events[0]) {
			switch e.Do {
			case Dial:
				next = append(next, ServerDialed{Conn: e.Conn, OK: true})
			case Forward:
				g.forwards, g.lastConn = append(g.forwards, g.s.serverConns[e.Conn].Server.ID), e.Conn
				next = append(next, RequestWritten{Conn: e.Conn, OK: true})
			case AnswerClient:
				g.verdicts = append(g.verdicts, e.Verdict)
			}
		}
		events = append(events[1:], next...)
	}
}

// TestSendChecks checks that no decision, however wrong, makes the proxy break a rule, and that each
// attempt to do so is counted.
func TestSendChecks(t *testing.T) {
	for _, tc := range []struct {
		name     string
		class    lg.Class
		servers  []lg.ServerID
		between  func(*sendCheckTest) // runs between the first attempt and its end
		forwards int
		rule     sendguard.Rule
		verdict  Verdict
	}{
		{"unsafe, repeated", lg.Class{Effect: lg.Unsafe}, []lg.ServerID{1, 2}, nil, 1, sendguard.Repeated, Failed},
		{"keyed, in its zone", lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second},
			[]lg.ServerID{1, 3}, nil, 2, sendguard.None, Failed},
		{"keyed, in its zone, first server no longer listed",
			lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second}, []lg.ServerID{1, 3},
			func(g *sendCheckTest) { g.step(listOf(lg.Changes, lg.Gone, 1)) }, 2, sendguard.None, Failed},
		{"keyed, in another zone", lg.Class{Effect: lg.Keyed, Group: lg.GroupZone, Memory: time.Second},
			[]lg.ServerID{1, 2}, nil, 1, sendguard.Repeated, Failed},
		{"keyed, after its window", lg.Class{Effect: lg.Keyed, Memory: 10 * ms}, []lg.ServerID{1, 2},
			func(g *sendCheckTest) { g.now += 20 * ms }, 1, sendguard.Repeated, Failed},
		{"safe, any number of times", lg.Class{Effect: lg.Safe}, []lg.ServerID{1, 2, 3}, nil, 3, sendguard.None,
			Failed},
	} {
		tc.class.Aim, tc.class.Deadline, tc.class.Worth = time.Second, time.Second, 1
		cfg := testConfig()
		cfg.Settings.Classes = []lg.Class{tc.class}
		cfg.Decider = &fixedDecider{servers: tc.servers}
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		g := &sendCheckTest{T: t, s: s, now: time.Hour}
		list := lg.List{Kind: lg.FullList}
		for id := lg.ServerID(1); id <= 3; id++ {
			list.Servers = append(list.Servers, lg.Server{ID: id, Zone: int(id) % 2, Weight: 1})
		}
		g.step(ListReceived{List: list})
		g.step(ClientOpened{Conn: 1})
		g.step(RequestReceived{Conn: 1, Name: "r", Deadline: g.now + time.Second, Payload: 1})
		for range tc.servers {
			if tc.between != nil {
				tc.between(g)
			}
			g.step(ServerClosed{Conn: g.lastConn})
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

// TestRequestUnsent checks that an attempt of which nothing was written gets another connection while
// its client waits, and is dropped once the client has left.
func TestRequestUnsent(t *testing.T) {
	for _, clientLeft := range []bool{false, true} {
		cfg := testConfig()
		cfg.Settings.Classes = []lg.Class{{Effect: lg.Unsafe, Aim: time.Second, Deadline: time.Second, Worth: 1}}
		cfg.Decider = &fixedDecider{servers: []lg.ServerID{1}}
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Hour, listOf(lg.FullList, lg.Ready, 1))
		s.Step(time.Hour, ClientOpened{Conn: 1})
		s.Step(time.Hour, RequestReceived{Conn: 1, Name: "r", Deadline: time.Hour + time.Second, Payload: 1})
		forwards := func(ev Event) (n int) {
			for _, e := range s.Step(time.Hour+10*ms, ev) {
				if e.Do == Forward {
					n++
				}
			}
			return n
		}
		if n := forwards(ServerDialed{Conn: 1, OK: true}); n != 1 {
			t.Fatalf("sent %d times", n)
		}
		want := 1
		if clientLeft {
			forwards(ClientClosed{Conn: 1})
			want = 0
		}
		if n := forwards(RequestUnsent{Conn: 1}); n != want {
			t.Errorf("client left %t: sent %d more times, want %d", clientLeft, n, want)
		}
		if _, open := s.openNames["r"]; open == clientLeft {
			t.Errorf("client left %t: request open %t", clientLeft, open)
		}
	}
}
