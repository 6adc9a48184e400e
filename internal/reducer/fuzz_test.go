package reducer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	lg "lilacglade"
)

func pick[V any](rng *rand.Rand, values map[ConnID]V, match func(V) bool) ConnID {
	var ids []ConnID
	for id, value := range values {
		if match(value) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return ids[rng.IntN(len(ids))]
}

// random takes one step that the transport, clients or discovery could take now.
func (m *model) random(rng *rand.Rand) {
	m.now += time.Duration(rng.IntN(4)) * ms // events coincide with timers that are due
	switch rng.IntN(16) {
	case 0, 1, 2, 3:
		client := pick(rng, m.clients, func(req *modelRequest) bool { return req == nil })
		if _, busy := m.writing[client]; client == 0 || busy || rng.IntN(3) == 0 {
			m.lastClient++
			client = m.lastClient
			m.clients[client] = nil
			m.step(ClientOpened{client})
		}
		req, open := m.clients[client]
		open = open && req == nil // otherwise it was closed as soon as it opened
		if open && rng.IntN(4) == 0 {
			m.sendStream(client, rng.IntN(2))
		} else if open {
			m.sendRequest(client, rng.IntN(2))
		}
	case 4:
		if client := pick(rng, m.writing, func(bool) bool { return true }); client != 0 {
			ok, last := rng.IntN(8) > 0, m.writing[client]
			delete(m.writing, client)
			reusable := m.endStream(client, ok, rng.IntN(2) == 0)
			if ok && !last {
				m.clients[client] = nil
			}
			m.step(ResponseWritten{Conn: client, OK: ok, Reusable: reusable})
		}
	case 5:
		if client := pick(rng, m.clients, func(*modelRequest) bool { return true }); client != 0 &&
			rng.IntN(3) == 0 {
			m.removeClient(client)
			m.step(ClientClosed{client})
		}
	case 6, 7:
		if id := pick(rng, m.serverConns, func(conn *modelServerConn) bool { return !conn.open }); id != 0 {
			ok := rng.IntN(4) > 0
			if m.serverConns[id].open = ok; !ok {
				delete(m.serverConns, id)
			}
			m.step(ServerDialed{Conn: id, OK: ok})
		}
	case 8:
		if id := pick(rng, m.serverConns, func(conn *modelServerConn) bool {
			return conn.req != nil && !conn.written
		}); id != 0 {
			conn := m.serverConns[id]
			if rng.IntN(6) == 0 { // nothing could be written on it
				conn.req.inFlight, conn.req = false, nil
				if rng.IntN(2) == 0 { // or too much time has passed
					m.step(RequestUnsent{id})
				} else {
					m.step(ServerConnUnusable{id})
				}
				break
			}
			consumed := conn.req.stream && rng.IntN(2) == 0
			conn.req.bodyConsumed = conn.req.bodyConsumed || consumed
			if conn.req.stream && !conn.req.complete && rng.IntN(4) == 0 { // the rest of it can't be read
				req := conn.req
				m.step(RequestBodyFailed{Conn: req.conn, TimedOut: rng.IntN(2) == 0})
				if m.serverConns[id] != nil || req.answers == 0 {
					m.t.Fatal("the attempt of a failed request was not cancelled")
				}
				break
			}
			if conn.written = rng.IntN(6) > 0; !conn.written { // broken before the last byte: it never ran
				conn.req.inFlight, conn.req = false, nil
				m.step(ServerClosed{id})
			} else {
				if conn.req.stream && !conn.req.complete {
					m.completeBody(conn.req)
				}
				if m.serverConns[id] == nil { // its time was over when its last byte was read
					break
				}
				m.requestsWritten++
			}
			m.step(RequestWritten{Conn: id, OK: conn.written, BodyConsumed: consumed})
		}
	case 9, 10:
		if id := pick(rng, m.serverConns, func(conn *modelServerConn) bool {
			return conn.written && conn.req != nil
		}); id != 0 {
			if req := m.serverConns[id].req; rng.IntN(4) == 0 && req.answers == 0 && !req.left {
				m.startStreaming(id, req)
				break
			}
			m.endExchange(id, []lg.Result{lg.OK, lg.OK, lg.Full, lg.ServerError}[rng.IntN(4)], rng.IntN(4) > 0)
		}
	case 11:
		mayClose := func(conn *modelServerConn) bool {
			return conn.open && conn.streamsTo == nil && (conn.req == nil || conn.written)
		}
		if id := pick(rng, m.serverConns, mayClose); id != 0 {
			if req := m.serverConns[id].req; req != nil {
				req.inFlight, req.mayHaveRun = false, true
			}
			delete(m.serverConns, id)
			m.step(ServerClosed{id})
		}
	case 13:
		idle := func(conn *modelServerConn) bool { return conn.open && conn.req == nil && conn.streamsTo == nil }
		if id := pick(rng, m.serverConns, idle); id != 0 {
			if m.step(UnexpectedServerData{id}); m.serverConns[id] != nil {
				m.t.Fatal("a connection with unexpected data was kept")
			}
		}
	case 14:
		if client := pick(rng, m.clients, func(req *modelRequest) bool {
			return req != nil && req.answers == 0
		}); client != 0 {
			m.flooding[client] = true
			m.step(ClientFlooding{client})
		}
	case 15:
		if client := pick(rng, m.clients, func(req *modelRequest) bool {
			return req != nil && req.stream && !req.complete && req.answers == 0
		}); client != 0 {
			m.arriveUnread(m.clients[client])
		}
	case 12:
		if rng.IntN(4) == 0 {
			m.updateList(lg.Changes, []lg.State{lg.Ready, lg.Ready, lg.Draining, lg.Gone}[rng.IntN(4)],
				lg.ServerID(1+rng.IntN(3)))
		}
	}
	m.advance(time.Duration(rng.IntN(60)) * ms)
}

// FuzzSteps checks random steps of clients, servers and discovery against the model, then stops the
// proxy: it must end with every request answered.
func FuzzSteps(f *testing.F) {
	for seed := range uint64(30) {
		f.Add(seed, 400)
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps int) {
		m, rng := newModel(t), rand.New(rand.NewPCG(seed, 1))
		for range min(steps, 2000) {
			m.random(rng)
		}
		m.checkMetrics()
		m.stopping, m.lateClients = true, 2
		m.step(Stopping{})
		for range 20 {
			m.random(rng)
		}
		if violations := m.s.Violations(); violations.Total() > 0 {
			m.t.Fatalf("violations %v", violations)
		}
		for _, req := range m.requests { // the transport limits how long a request may take to arrive
			if req.stream && !req.complete && req.answers == 0 && !req.left {
				m.step(RequestBodyFailed{Conn: req.conn, TimedOut: true})
			}
		}
		for range 3 { // repeated for clients that connected last
			m.advance(5 * time.Second)
			m.checkMetrics()
			for client := range m.writing {
				m.endStream(client, true, false)
				if !m.writing[client] {
					m.clients[client] = nil
				}
				delete(m.writing, client)
				m.step(ResponseWritten{Conn: client, OK: true})
			}
			m.advance(2 * drainInterval)
		}
		if !m.finished || len(m.s.requests)+len(m.s.openNames) != 0 || m.lateClients > 0 {
			t.Fatalf("finished %t with %d requests left, %d clients not reported", m.finished,
				len(m.s.requests), m.lateClients)
		}
	})
}
