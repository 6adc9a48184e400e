package reducer

import (
	"math/rand/v2"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/pool"
)

// TestBreakBeforeTheLastByte checks the result of an attempt whose connection breaks while the request
// is written. Whether the last byte was written decides whether the request may have run, in whichever
// order the break and the end of writing are reported.
func TestBreakBeforeTheLastByte(t *testing.T) {
	m, req := startedModel(t)
	m.step(ServerClosed{1})
	m.serverConns[1].req, req.inFlight = nil, false
	m.step(RequestWritten{Conn: 1, OK: false})
	if req.answers != 0 || len(m.serverConns) != 1 {
		t.Fatal("not sent again, though it never ran")
	}
	m, _ = startedModel(t)
	m.step(ServerClosed{1})
	if verdict := m.verdict(RequestWritten{Conn: 1, OK: true}); verdict != Failed {
		t.Errorf("verdict %d for a request that may have run", verdict)
	}
}

// TestEarlyAnswerClosesConn checks that a connection is closed at once if its server has rejected the
// request before all of it was written. Otherwise it counts as one of the server's connections until
// then, and the next request to that server is rejected for lack of one.
func TestEarlyAnswerClosesConn(t *testing.T) {
	m, _ := startedModel(t)
	server := m.serverConns[1].server
	m.endExchange(1, lg.Full, false)
	for _, stats := range m.s.pool.Stats() {
		if stats.ID == server && stats.Conns > 0 || m.serverConns[1] != nil {
			t.Errorf("%d connections kept", stats.Conns)
		}
	}
	m.step(RequestWritten{Conn: 1, OK: true}) // the write that was in progress has no effect
	m.advance(time.Second)
}

// TestDrainDuringDial checks that a request that waits for a connection to a server goes to another one
// as soon as the first begins to drain, and is rejected at once if there is no other. Otherwise it
// would wait, or be sent to a server that takes no new requests.
func TestDrainDuringDial(t *testing.T) {
	m := newModel(t)
	m.openClient(1)
	m.sendRequest(1, 0)
	req, start := m.requests[0], m.now
	for attempt := ConnID(1); attempt <= 3; attempt++ {
		if req.answers > 0 || m.serverConns[attempt] == nil {
			t.Fatalf("%d connections, %d answers while there was another server", len(m.serverConns), req.answers)
		}
		m.updateList(lg.Changes, lg.Draining, m.serverConns[attempt].server)
	}
	if req.answers != 1 || req.verdict != Rejected || m.now != start {
		t.Errorf("%d answers, verdict %d", req.answers, req.verdict)
	}
	for id := range m.serverConns { // they open all the same; the model checks that nothing is sent on them
		m.serverConns[id].open = true
		m.step(ServerDialed{Conn: id, OK: true})
	}
	if len(m.serverConns) > 0 {
		t.Errorf("%d connections kept to draining servers", len(m.serverConns))
	}
}

// TestDialCompletesTooLate checks that nothing is written on a connection that opens just as the
// request's time is over, but before its timer has fired; and that nothing is repeated after the time
// for which servers remember a key.
func TestDialCompletesTooLate(t *testing.T) {
	for _, tc := range []struct {
		name                string
		window, connectedAt time.Duration // the class's Memory; when the retry's connection opens
		forwarded           bool
	}{
		{"in time", 300 * ms, 250 * ms, true},
		{"at the window's end", 300 * ms, 300 * ms, false},
		{"after it", 300 * ms, 310 * ms, false},
	} {
		m := newModel(t)
		m.s.cfg.Settings.Classes[1].Memory, m.s.cfg.Settings.ConnectTimeout = tc.window, 10*time.Second
		balancer, err := lg.New(m.s.cfg.Settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		m.s.decider = balancer
		m.updateList(lg.FullList, lg.Ready, 1, 2, 3)
		m.clients[1] = nil
		m.step(ClientOpened{1})
		m.sendRequest(1, 1)
		m.serverConns[1].open = true
		m.step(ServerDialed{Conn: 1, OK: true})
		start := m.now
		m.now += 200 * ms
		m.step(RequestWritten{Conn: 1, OK: true})
		m.endExchange(1, lg.ServerError, false) // it may have run; the retry opens a connection
		id := pick(rand.New(rand.NewPCG(1, 1)), m.serverConns,
			func(conn *modelServerConn) bool { return !conn.open })
		if id == 0 {
			t.Fatalf("%s: not repeated", tc.name)
		}
		m.serverConns[id].open, m.now = true, start+tc.connectedAt
		m.step(ServerDialed{Conn: id, OK: true})
		if forwarded := m.serverConns[id] != nil && m.serverConns[id].req != nil; forwarded != tc.forwarded {
			t.Errorf("%s: repeated %t", tc.name, forwarded)
		}
	}
	m := newModel(t)
	m.clients[1] = nil
	m.step(ClientOpened{1})
	m.sendRequest(1, 0)
	m.serverConns[1].open, m.now = true, m.requests[0].deadline-answerMargin
	if verdict := m.verdict(ServerDialed{Conn: 1, OK: true}); verdict != Rejected {
		t.Errorf("verdict %d for what was never sent", verdict)
	}
}

// TestDeadlineWithoutDecider covers a request that stays at a server which never answers.
func TestDeadlineWithoutDecider(t *testing.T) {
	m, req := startedModel(t)
	m.step(RequestWritten{Conn: 1, OK: true})
	m.advance(req.deadline - m.now - answerMargin - 1)
	if req.answers != 0 {
		t.Fatal("answered early")
	}
	m.now += 1
	if verdict := m.verdict(TimerFired{}); verdict != DeadlineExceeded {
		t.Errorf("verdict %d", verdict)
	}
}

// TestInvalidActions checks actions of the decider that break a rule: a second attempt beside an open
// one is not sent, and the rejection of a request that may have run is answered as a failure.
func TestInvalidActions(t *testing.T) {
	m, _ := startedModel(t)
	m.s.effects = m.s.effects[:0]
	m.s.execute(lg.Action{Do: lg.Send, Request: 1, Server: 2})
	if len(m.s.effects) != 0 {
		t.Errorf("two attempts at once: %+v", m.s.effects)
	}
	m.s.execute(lg.Action{Do: lg.Refuse, Request: 1})
	if len(m.s.effects) != 1 || m.s.effects[0].Verdict != Failed {
		t.Errorf("got %+v", m.s.effects)
	}
}

// TestUnusableConnIsReplaced checks that a connection with unexpected input is closed and that the
// request goes to another one. Otherwise that input would be taken for the answer to the next request.
func TestUnusableConnIsReplaced(t *testing.T) {
	m, req := startedModel(t)
	m.serverConns[1].req, req.inFlight = nil, false
	m.step(ServerConnUnusable{1})
	if m.serverConns[1] != nil || len(m.serverConns) != 1 || m.serverConns[2].server != 0 && req.answers != 0 {
		t.Errorf("connections %v, %d answers", m.serverConns, req.answers)
	}
}

// TestDialLeavesTimeForAnotherServer checks that an attempt does not wait for a server that can't be
// reached until it is too late for the others.
func TestDialLeavesTimeForAnotherServer(t *testing.T) {
	m := newModel(t)
	m.openClient(1)
	for _, e := range m.s.Step(m.now, RequestReceived{Conn: 1, Name: "1", Deadline: m.now + 300*ms}) {
		if e.Do == Dial && e.At > m.now+75*ms {
			t.Errorf("dials for %v of 300 ms", e.At-m.now)
		}
	}
}

// TestIdleConnLiveness checks that no request is written on a connection that has been idle for so long
// that the server has probably dropped it.
func TestIdleConnLiveness(t *testing.T) {
	m, req := startedModel(t)
	m.step(RequestWritten{Conn: 1, OK: true})
	m.endExchange(1, lg.OK, true)
	delete(m.writing, req.conn)
	m.clients[req.conn] = nil
	m.step(ResponseWritten{Conn: req.conn, OK: true})
	for id := range m.serverStates {
		if id != m.serverConns[1].server {
			m.updateList(lg.Changes, lg.Draining, id)
		}
	}
	rested := *m.s.serverConns[1].Conn
	rested.IdleFor = 100 * ms
	for range 40 {
		m.s.pool.RecordOutcome(m.s.now, &rested, pool.Broken)
	}
	m.now += 200 * ms
	if m.sendRequest(req.conn, 0); m.serverConns[1] != nil || len(m.serverConns) != 1 {
		t.Error("used a connection that was idle for too long")
	}
}
