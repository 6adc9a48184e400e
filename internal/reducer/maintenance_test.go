package reducer

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/fencing"
)

// newMaintenanceState returns a State with three servers and a function to step it.
func newMaintenanceState(t *testing.T) (*State, func(ev Event, at time.Duration) []Effect) {
	cfg := testConfig()
	cfg.Maintenance, cfg.PublishMetrics = true, true
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	step := func(ev Event, at time.Duration) []Effect { return append([]Effect(nil), s.Step(at, ev)...) }
	step(ListReceived{List: lg.List{Kind: lg.FullList, Servers: []lg.Server{{ID: 1}, {ID: 2}, {ID: 3}}}},
		time.Hour)
	return s, step
}

// sendsTo has 60 requests received and answered, and reports whether any is sent to the given server.
func (s *State) sendsTo(step func(Event, time.Duration) []Effect, id lg.ServerID, at time.Duration,
	client *ConnID) (got bool) {
	for range 60 {
		*client++
		step(ClientOpened{*client}, at)
		todo := step(RequestReceived{Conn: *client, Name: fmt.Sprint(*client), Deadline: at + time.Second,
			Key: uint64(*client) * 0x9e3779b97f4a7c15, HasKey: true}, at)
		for len(todo) > 0 {
			e := todo[0]
			todo = todo[1:]
			switch e.Do {
			case Dial:
				todo = append(todo, step(ServerDialed{Conn: e.Conn, OK: true}, at)...)
			case Forward:
				got = got || s.serverConns[e.Conn].Server.ID == id
				todo = append(todo, step(RequestWritten{Conn: e.Conn, OK: true}, at)...)
				todo = append(todo, step(ServerAnswered{Conn: e.Conn, Result: lg.OK, Reusable: true}, at)...)
			}
		}
		step(ClientClosed{*client}, at)
	}
	return got
}

// TestMaintenanceHolds checks that no request is sent to a server that may be out: to any before the
// first lease, to a marked one, and to a named one once the lease has run out, however late the process
// reads its clock.
func TestMaintenanceHolds(t *testing.T) {
	s, step := newMaintenanceState(t)
	now, client := time.Hour, ConnID(0)
	if s.Ready() || s.sendsTo(step, 1, now, &client) {
		t.Error("served before the first lease")
	}
	facts := fencing.Restrictions[lg.ServerID]{Index: 3, Named: []lg.ServerID{1, 2},
		LeaseUntil: now + 3*time.Second,
		Grace:      time.Second, Marked: []fencing.Mark[lg.ServerID]{{Machine: 1, Grant: 2}}}
	step(FencingUpdated{Facts: facts}, now)
	if !s.Ready() || s.sendsTo(step, 1, now, &client) || !s.sendsTo(step, 2, now, &client) {
		t.Error("a marked server gets requests, or a named one none")
	}
	// A list from discovery in which it is ready changes nothing.
	step(ListReceived{List: lg.List{Kind: lg.FullList, Servers: []lg.Server{{ID: 1}, {ID: 2}, {ID: 3}}}}, now)
	if s.sendsTo(step, 1, now, &client) {
		t.Error("a list from discovery overrides the mark")
	}
	// The process was paused for longer than its lease, and the first event after that is a request.
	now += 10 * time.Second
	if s.sendsTo(step, 2, now, &client) || !s.sendsTo(step, 3, now, &client) {
		t.Error("a paused process sends to a server that may be out, or not to another")
	}
	facts.Index, facts.Marked, facts.Named, facts.LeaseUntil = 4, nil, nil, now+3*time.Second
	step(FencingUpdated{Facts: facts}, now)
	if !s.sendsTo(step, 1, now, &client) || !s.sendsTo(step, 2, now, &client) {
		t.Error("no requests after the mark was removed and the lease renewed")
	}
}

// TestMaintenanceClear checks when a marked server is reported as clear: not while a connection to it
// is open, even if discovery has removed the server and listed it again; and after the lease has run
// out, once the remaining connections were closed.
func TestMaintenanceClear(t *testing.T) {
	for _, tc := range []struct{ relist, expire bool }{{false, false}, {true, false}, {false, true}} {
		s, step := newMaintenanceState(t)
		now := time.Hour
		facts := fencing.Restrictions[lg.ServerID]{Index: 3, Named: []lg.ServerID{1, 2, 3},
			LeaseUntil: now + time.Second, Grace: time.Second}
		step(FencingUpdated{Facts: facts}, now)
		step(ClientOpened{1}, now)
		var server lg.ServerID
		var conn ConnID
		for _, e := range step(RequestReceived{Conn: 1, Name: "a", Deadline: now + 10*time.Second}, now) {
			if e.Do == Dial {
				server, conn = e.Server, e.Conn
			}
		}
		step(ServerDialed{Conn: conn, OK: true}, now)
		step(RequestWritten{Conn: conn, OK: true}, now)
		facts.Index, facts.Marked = 4, []fencing.Mark[lg.ServerID]{{Machine: server, Grant: 4}}
		step(FencingUpdated{Facts: facts}, now)
		if tc.relist {
			step(ListReceived{List: lg.List{Kind: lg.Changes,
				Servers: []lg.Server{{ID: server, State: lg.Gone}}}}, now)
			step(ListReceived{List: lg.List{Kind: lg.Changes, Servers: []lg.Server{{ID: server}}}}, now)
		}
		cleared := func(effects []Effect) bool {
			for _, e := range effects {
				if e.Do == ReportFencing && len(e.Payload.(FencingStatus).Clear) > 0 {
					return true
				}
			}
			return false
		}
		clear := false
		for range 100 {
			now += clearPollInterval / 2
			clear = clear || cleared(step(TimerFired{}, now))
		}
		if clear || len(s.serverConns) != 1 {
			t.Errorf("%+v: reported as clear with an open request", tc)
		}
		if tc.expire {
			if now += 2 * time.Second; !cleared(step(TimerFired{}, now)) &&
				!cleared(step(TimerFired{}, now+clearPollInterval)) {
				t.Errorf("%+v: not closed after the lease and the longest deadline", tc)
			}
			continue
		}
		done := step(ServerAnswered{Conn: conn, Result: lg.OK, Reusable: true}, now)
		if !cleared(append(done, step(TimerFired{}, now+2*clearPollInterval)...)) {
			t.Errorf("%+v: never reported as clear", tc)
		}
	}
}

// TestOwnMachineMaintenance covers a proxy whose own machine is to be taken out: it is not ready,
// answers requests that still arrive, each as the last one on its connection, and reports that it is
// clear only when nothing is open. From then on it rejects every request.
func TestOwnMachineMaintenance(t *testing.T) {
	s, step := newMaintenanceState(t)
	now := time.Hour
	facts := fencing.Restrictions[lg.ServerID]{Index: 3, LeaseUntil: now + time.Minute, Grace: time.Second}
	step(FencingUpdated{Facts: facts}, now)
	step(ClientOpened{1}, now)
	step(ClientOpened{2}, now)
	var conn ConnID
	for _, e := range step(RequestReceived{Conn: 1, Name: "a", Deadline: now + 10*time.Second}, now) {
		if e.Do == Dial {
			conn = e.Conn
		}
	}
	step(ServerDialed{Conn: conn, OK: true}, now)
	step(RequestWritten{Conn: conn, OK: true}, now)
	facts.Index = 4
	step(FencingUpdated{Facts: facts, OwnGrant: 4}, now)
	reportedClear := func(duration time.Duration) (got bool) {
		for end := now + duration; now < end; now += drainInterval {
			for _, e := range step(TimerFired{}, now) {
				got = got || e.Do == ReportFencing && e.Payload.(FencingStatus).OwnGrant == 4
				if e.Do == CheckClientIdle {
					step(ClientIdleConfirmed{e.Conn}, now)
				}
			}
		}
		return got
	}
	if s.Ready() || reportedClear(time.Second) {
		t.Error("ready, or reported as clear with a request in progress")
	}
	for _, e := range step(ServerAnswered{Conn: conn, Result: lg.OK, Reusable: true}, now) {
		if e.Do == AnswerClient && !e.Last {
			t.Error("the connection stays open after the answer")
		}
	}
	step(ResponseWritten{Conn: 1, OK: true}, now)
	if !reportedClear(2 * time.Second) {
		t.Error("never reported as clear")
	}
	step(ClientOpened{3}, now)
	for _, e := range step(RequestReceived{Conn: 3, Name: "b", Deadline: now + 10*time.Second}, now) {
		if e.Do == Dial || e.Do == AnswerClient && e.Verdict != Rejected {
			t.Error("accepts a request after it was clear")
		}
	}
	facts.Index = 5
	if step(FencingUpdated{Facts: facts}, now); !s.Ready() {
		t.Error("not ready again after the grant ended")
	}
}

// TestNoMaintenanceWithoutPeers checks that without peers requests cost no work for maintenance.
func TestNoMaintenanceWithoutPeers(t *testing.T) {
	s, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	if s.maintenance != nil {
		t.Error("there is maintenance state")
	}
	for _, e := range s.Step(time.Hour,
		FencingUpdated{Facts: fencing.Restrictions[lg.ServerID]{Index: 1, LeaseUntil: 1}}) {
		if e.Do == ReportFencing {
			t.Error("facts were applied")
		}
	}
}
