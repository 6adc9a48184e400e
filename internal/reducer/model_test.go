package reducer

import (
	"slices"
	"testing"
	"time"

	lg "lilacglade"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{PublishMetrics: true, MaxClients: 12, MaxServerConns: 8, ServerIdleTimeout: time.Second,
		Settings: lg.Settings{
			Balancers: 1, Zones: 1, MaxAttempts: 4, AskForList: true, AskEvery: 5 * time.Second,
			ConnectTimeout: 200 * ms, MaxRetryAfter: time.Second, WarmWithin: time.Second, ColdShare: 0.5,
			TipWindow: time.Second, Report: []lg.LoadField{lg.LoadInFlight},
			Classes: []lg.Class{
				{Name: "edit", Aim: 400 * ms, Deadline: 800 * ms, Worth: 5, Effect: lg.Unsafe},
				{Name: "upload", Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 15, Effect: lg.Keyed,
					Group: lg.GroupZone, Memory: 1200 * ms}}}}
}

// modelRequest is a request as the model sees it.
type modelRequest struct {
	conn         ConnID
	class        int
	deadline     time.Duration
	inFlight     bool // an attempt is on a server connection
	mayHaveRun   bool
	ranAt        time.Duration // time of the first Forward that may have run, else of the last one
	answers      int
	left         bool
	verdict      Verdict
	stream       bool // it is forwarded while it arrives
	arrived      bool // its last byte has arrived,
	complete     bool // and was read
	bodyConsumed bool // it can't be sent again
	truncated    bool // its answer was not passed on completely
}

type modelServerConn struct {
	server    lg.ServerID
	open      bool
	req       *modelRequest // the exchange on it; nil if idle
	written   bool
	streamsTo *modelRequest // the request whose answer streams from it
}

// model plays clients, servers and discovery for a State, and checks its effects against what must
// hold.
type model struct {
	t                   *testing.T
	s                   *State
	classes             []lg.Class // as the requests of the model know them
	now                 time.Duration
	armed               time.Duration
	clients             map[ConnID]*modelRequest // nil: idle
	writing             map[ConnID]bool          // answers being written, and whether they are the last ones
	flooding            map[ConnID]bool          // clients that sent too far ahead
	serverConns         map[ConnID]*modelServerConn
	serverStates        map[lg.ServerID]lg.State
	requests            []*modelRequest
	lastClient          ConnID
	stopping            bool
	finished            bool
	metrics             *Metrics
	idleChecks          []ConnID
	writeClosed         map[ConnID]bool
	drainingAcceptQueue bool // DrainAcceptQueue was requested
	lateClients         int  // clients that still connect at that time
	streaming           map[*modelRequest]bool
	requestsWritten     uint64
}

func newModel(t *testing.T) *model {
	s, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, s: s, classes: s.cfg.Settings.Classes, now: time.Hour,
		clients: map[ConnID]*modelRequest{}, writing: map[ConnID]bool{},
		flooding: map[ConnID]bool{}, streaming: map[*modelRequest]bool{}, writeClosed: map[ConnID]bool{},
		serverConns: map[ConnID]*modelServerConn{}, serverStates: map[lg.ServerID]lg.State{}}
	m.updateList(lg.CachedList, lg.Ready, 1, 2, 3)
	m.updateList(lg.FullList, lg.Ready, 1, 2, 3)
	return m
}

func (m *model) updateList(kind lg.ListKind, state lg.State, ids ...lg.ServerID) {
	list := lg.List{Kind: kind}
	for _, id := range ids {
		m.serverStates[id] = state
		list.Servers = append(list.Servers, lg.Server{ID: id, State: state, Weight: 1})
	}
	m.step(ListReceived{List: list})
}

func (m *model) step(ev Event) {
	m.t.Helper()
	for _, e := range slices.Clone(m.s.Step(m.now, ev)) {
		m.checkEffect(e)
	}
	for len(m.idleChecks) > 0 {
		conn := m.idleChecks[0]
		m.idleChecks = m.idleChecks[1:]
		m.step(ClientIdleConfirmed{conn})
	}
	if m.drainingAcceptQueue {
		if m.drainingAcceptQueue = false; m.lateClients > 0 {
			m.lateClients--
			m.lastClient += 1000
			m.openClient(m.lastClient)
			m.sendRequest(m.lastClient, 0)
		}
		m.step(AcceptQueueDrained{})
	}
}

// checkEffect checks one effect against the rules and applies it to the model.
func (m *model) checkEffect(effect Effect) {
	m.t.Helper()
	switch effect.Do {
	case AnswerClient:
		req, known := m.clients[effect.Conn]
		if _, twice := m.writing[effect.Conn]; !known || twice {
			m.t.Fatalf("an answer on client connection %d, which is closed or being written to", effect.Conn)
		}
		if m.stopping && !effect.Last {
			m.t.Fatal("a connection kept open by an answer after the stop began")
		}
		if m.flooding[effect.Conn] && !effect.Last {
			m.t.Fatal("a connection kept open whose client sent too far ahead")
		}
		m.writing[effect.Conn] = effect.Last
		if req == nil {
			return
		}
		req.verdict = effect.Verdict
		if req.answers++; req.answers > 1 {
			m.t.Fatal("two answers to one request")
		}
		if req.stream && !req.complete && !effect.Last {
			m.t.Fatal("a connection kept open on which the rest of a request arrives")
		}
		if effect.Verdict == Rejected && (req.mayHaveRun || req.inFlight) {
			m.t.Fatal("rejected, though it may have run")
		}
	case CloseClientConn:
		if req, ok := m.clients[effect.Conn]; !ok {
			m.t.Fatalf("client connection %d closed twice", effect.Conn)
		} else if req == nil {
			m.t.Fatal("an idle connection closed that may have unread input")
		} else if req != nil && req.answers == 0 {
			m.t.Fatal("a connection closed with its request unanswered")
		}
		m.removeClient(effect.Conn)
	case Dial:
		if m.serverConns[effect.Conn] = (&modelServerConn{server: effect.Server}); len(m.serverConns) >
			m.s.cfg.MaxServerConns {
			m.t.Fatalf("%d server connections", len(m.serverConns))
		}
		if m.serverStates[effect.Server] != lg.Ready {
			m.t.Fatal("dialed a draining server")
		}
	case Forward:
		conn, req := m.serverConns[effect.Conn], effect.Payload.(*modelRequest)
		switch {
		case conn == nil || !conn.open || conn.req != nil || conn.streamsTo != nil:
			m.t.Fatalf("forwarded on server connection %d, which is closed or busy", effect.Conn)
		case req.inFlight || req.answers > 0 || req.left:
			m.t.Fatal("a second attempt, or one after the answer, or without a client")
		case req.bodyConsumed:
			m.t.Fatal("a request sent again whose body was consumed")
		case req.mayHaveRun && req.class == 0:
			m.t.Fatal("an unsafe request sent again after it may have run")
		case m.serverStates[conn.server] != lg.Ready:
			m.t.Fatal("forwarded to a draining server")
		case m.now >= req.deadline-answerMargin:
			m.t.Fatal("forwarded after its deadline")
		case req.mayHaveRun && m.now-req.ranAt >= m.classes[req.class].Memory:
			m.t.Fatal("repeated after the window in which repeats are dropped")
		}
		if !req.mayHaveRun {
			req.ranAt = m.now
		}
		conn.req, conn.written, req.inFlight = req, false, true
	case CloseServerConn:
		conn := m.serverConns[effect.Conn]
		if conn == nil {
			m.t.Fatalf("server connection %d closed twice", effect.Conn)
		}
		if conn.req != nil {
			conn.req.inFlight, conn.req.mayHaveRun = false, true
		}
		delete(m.serverConns, effect.Conn)
	case ArmTimer:
		m.armed = effect.At
	case CheckClientIdle:
		if req := m.clients[effect.Conn]; req != nil {
			m.t.Fatal("a connection closed as idle on which an answer is due")
		}
		m.idleChecks = append(m.idleChecks, effect.Conn)
	case CloseClientWrite:
		if m.clients[effect.Conn] == nil {
			m.clients[effect.Conn] = &modelRequest{conn: effect.Conn, answers: 1}
		}
		m.writeClosed[effect.Conn] = true
	case DrainAcceptQueue:
		m.drainingAcceptQueue = true
	case Finish:
		m.finished = true
		for _, req := range m.clients {
			if req == nil || req.answers == 0 {
				m.t.Fatal("ended with a client whose answer is due")
			}
		}
	case Publish:
		m.metrics = effect.Payload.(*Metrics)
	}
}

// checkMetrics checks that every request received is counted exactly once: as handled, with its class
// and the outcome that its client saw, or as in progress.
func (m *model) checkMetrics() {
	m.t.Helper()
	for m.s.counters.publishScheduled { // the latest metrics are not published yet
		m.advance(publishInterval / 4)
	}
	open, want := 0, []RequestCounts{{Class: "edit"}, {Class: "upload"}}
	for _, req := range m.requests {
		switch counts := &want[req.class]; {
		case req.answers == 0 && !req.left, m.streaming[req]:
			open++
		case req.truncated:
			counts.BadGateway++
		case req.answers > 0 && req.verdict == Served:
			counts.Passed++
		case req.answers > 0 && req.verdict == Rejected:
			counts.Dropped++
		default:
			counts.BadGateway++
		}
	}
	if !slices.Equal(m.metrics.Handled, want) || m.metrics.InProgress != open ||
		m.metrics.RequestsWritten != m.requestsWritten ||
		m.s.counters.received != uint64(len(m.requests)) {
		m.t.Fatalf("metrics %+v, want %+v, %d in progress and %d requests written", m.metrics, want, open,
			m.requestsWritten)
	}
}

// endStream ends an answer that was passed on, if it was, and returns whether its server connection is
// reused.
func (m *model) endStream(client ConnID, ok, reusable bool) bool {
	req := m.clients[client]
	if req == nil || !m.streaming[req] {
		return false
	}
	delete(m.streaming, req)
	req.truncated = !ok
	for _, conn := range m.serverConns {
		if conn.streamsTo == req && ok && reusable {
			conn.streamsTo = nil
		}
	}
	return ok && reusable
}

func (m *model) removeClient(client ConnID) {
	m.endStream(client, false, false)
	if req := m.clients[client]; req != nil {
		req.left = true
	}
	delete(m.clients, client)
	delete(m.writing, client)
	delete(m.writeClosed, client)
}

// isOpen reports whether a client connection is open in both directions.
func (m *model) isOpen(client ConnID) bool {
	_, open := m.clients[client]
	return open && !m.writeClosed[client]
}

// advance lets time pass and fires the timer when the State asked for it.
func (m *model) advance(duration time.Duration) {
	m.t.Helper()
	for end := m.now + duration; m.now < end; {
		m.now = min(end, max(m.now, m.armed))
		m.step(TimerFired{})
	}
	if len(m.s.serverConns) != len(m.serverConns) || len(m.s.clients) != len(m.clients) {
		m.t.Fatalf("%d server connections in the state, %d in the model; %d and %d client connections",
			len(m.s.serverConns), len(m.serverConns), len(m.s.clients), len(m.clients))
	}
	for id, conn := range m.serverConns {
		if conn.streamsTo != nil && !m.streaming[conn.streamsTo] {
			m.t.Fatalf("server connection %d still streams an answer that no client receives", id)
		}
	}
	for _, req := range m.requests {
		if m.now >= req.deadline && req.answers == 0 && !req.left {
			m.t.Fatal("no answer before the client's deadline")
		}
	}
}
