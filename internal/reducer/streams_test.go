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
