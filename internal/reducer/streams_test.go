package reducer

import (
	"testing"
	"time"
)

// TestStreamTimeoutCountsFromLastByte checks that a streamed request does not time out while it
// arrives, but does after its last byte. The latency of its attempt must not include the time that the
// client took, either.
func TestStreamTimeoutCountsFromLastByte(t *testing.T) {
	m := newModel(t)
	m.clients[1] = nil
	m.step(ClientOpened{1})
	m.sendStream(1, 0)
	m.serverConns[1].open = true
	m.step(ServerDialed{Conn: 1, OK: true})
	req := m.requests[0]
	for range 20 {
		m.advance(time.Second)
	}
	if req.answers > 0 {
		t.Fatal("timed out while it arrived")
	}
	m.completeBody(req)
	m.step(RequestWritten{Conn: 1, OK: true, BodyConsumed: true})
	m.advance(800*ms - answerMargin - ms)
	if req.answers > 0 {
		t.Fatal("timed out too early")
	}
	if m.advance(2 * ms); req.answers != 1 || req.verdict != DeadlineExceeded {
		t.Errorf("%d answers, verdict %d", req.answers, req.verdict)
	}
}

// TestArrivedUploadIsAnsweredInTime guards against an upload that is answered seconds after its time: its
// last byte has arrived, but its server takes nothing, or it waits for a connection, so nobody reads it.
func TestArrivedUploadIsAnsweredInTime(t *testing.T) {
	for _, connected := range []bool{false, true} {
		m := newModel(t)
		m.openClient(1)
		m.sendStream(1, 1)
		if connected {
			m.serverConns[1].open = true
			m.step(ServerDialed{Conn: 1, OK: true})
		}
		req := m.requests[0]
		m.arriveUnread(req)
		m.advance(ms)
		m.arriveUnread(req) // a second report gives it no more time
		m.advance(time.Second)
		if connected {
			m.completeBody(req) // nor does its being read
		}
		if m.advance(time.Second - ms); req.answers != 1 {
			t.Errorf("connected %t: %d answers", connected, req.answers)
		}
		if connected && req.verdict != DeadlineExceeded || !connected && req.verdict != Rejected {
			t.Errorf("connected %t: verdict %v", connected, req.verdict)
		}
	}
}

// TestServerIsToldTimeOfArrivedUpload checks that an attempt which begins after the last byte has arrived
// is given only what is left of the client's time.
func TestServerIsToldTimeOfArrivedUpload(t *testing.T) {
	m := newModel(t)
	m.openClient(1)
	m.sendStream(1, 1)
	m.arriveUnread(m.requests[0])
	m.now += 50 * ms
	for _, effect := range m.s.Step(m.now, ServerDialed{Conn: 1, OK: true}) {
		if left := m.requests[0].deadline - m.now; effect.Do == Forward && effect.At-m.now > left {
			t.Errorf("the server has %v, the client %v", effect.At-m.now, left)
		}
	}
}
