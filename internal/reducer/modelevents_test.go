package reducer

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
)

// startedModel returns a model with one request whose attempt is on server connection 1.
func startedModel(t *testing.T) (*model, *modelRequest) {
	m := newModel(t)
	m.clients[1] = nil
	m.step(ClientOpened{1})
	m.sendRequest(1, 0)
	m.serverConns[1].open = true
	m.step(ServerDialed{Conn: 1, OK: true})
	return m, m.requests[0]
}

// verdict takes an event and returns the verdict of the answer that follows.
func (m *model) verdict(ev Event) Verdict {
	m.t.Helper()
	for _, e := range m.s.Step(m.now, ev) {
		if e.Do == AnswerClient {
			return e.Verdict
		}
	}
	m.t.Fatalf("%+v: no answer", ev)
	return 0
}

// openClient opens a client connection on which nothing arrives.
func (m *model) openClient(client ConnID) {
	m.clients[client] = nil
	m.step(ClientOpened{client})
}

func (m *model) sendRequest(client ConnID, class int) {
	req := &modelRequest{conn: client, class: class, deadline: m.now + m.s.cfg.Settings.Classes[class].Deadline}
	m.clients[client], m.requests = req, append(m.requests, req)
	m.step(RequestReceived{Conn: client, Name: fmt.Sprint(len(m.requests)), Class: class,
		Key: uint64(client % 5), HasKey: true, Deadline: req.deadline, Payload: req})
}

// sendStream begins a request that may take any time to arrive.
func (m *model) sendStream(client ConnID, class int) {
	timeout := m.s.cfg.Settings.Classes[class].Deadline
	req := &modelRequest{conn: client, class: class, stream: true, deadline: m.now + time.Hour}
	m.clients[client], m.requests = req, append(m.requests, req)
	m.step(RequestReceived{Conn: client, Name: fmt.Sprint(len(m.requests)), Class: class, Deadline: req.deadline,
		Payload: req, Stream: true, Timeout: timeout})
}

// completeBody brings the last byte of a streamed request.
func (m *model) completeBody(req *modelRequest) {
	m.startTimeout(req)
	req.complete = true
	m.step(RequestBodyComplete{Conn: req.conn, ReadAt: m.now})
}

// arriveUnread has the last byte of a streamed request arrive while nobody can read it.
func (m *model) arriveUnread(req *modelRequest) {
	m.startTimeout(req)
	m.step(RequestBodyArrived{Conn: req.conn, ArrivedAt: m.now})
}

// startTimeout has the client of a streamed request wait from now on, unless it does already.
func (m *model) startTimeout(req *modelRequest) {
	if !req.arrived {
		req.arrived, req.deadline = true, m.now+m.classes[req.class].Deadline
	}
}

// writeRequests opens the server connections that are being dialed, and writes what was forwarded.
func (m *model) writeRequests() {
	for id, conn := range m.serverConns {
		if !conn.open {
			conn.open = true
			m.step(ServerDialed{Conn: id, OK: true})
		}
	}
	for id, conn := range m.serverConns {
		if conn.req != nil {
			m.step(RequestWritten{Conn: id, OK: true})
		}
	}
}

// endExchange ends the exchange on a server connection, as the transport reports it.
func (m *model) endExchange(id ConnID, result lg.Result, reusable bool) {
	conn := m.serverConns[id]
	if req := conn.req; req != nil {
		req.inFlight = false
		req.mayHaveRun = req.mayHaveRun || !result.NeverRan()
	}
	conn.req = nil
	m.step(ServerAnswered{Conn: id, Result: result, Reusable: reusable,
		Load: lg.LoadReport{N: 1, Values: [4]float64{3}}})
}

// startStreaming begins an answer that is passed on from a server to its client while it arrives.
func (m *model) startStreaming(id ConnID, req *modelRequest) {
	req.inFlight, req.mayHaveRun = false, true
	m.serverConns[id].req, m.serverConns[id].streamsTo, m.streaming[req] = nil, req, true
	m.step(ResponseStreaming{Conn: id, Payload: req})
	if _, writing := m.writing[req.conn]; !writing || req.answers != 1 || req.verdict != Served {
		m.t.Fatal("an answer not passed on")
	}
}
