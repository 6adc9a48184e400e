package reducer

import (
	"testing"
	"time"

	lg "lilacglade"
)

// killAfter is how long after Stopping the platform may kill a process with testConfig.
const killAfter = 2*time.Second + 700*ms

// stopBefore steps a model into a planned stop that began some time ago, with a client on connection 1
// whose request has been arriving since before the stop.
func stopBefore(t *testing.T, elapsed time.Duration) *model {
	m := newModel(t)
	m.openClient(1)
	m.step(ClientReading{Conn: 1, Deadline: m.now + time.Minute, BodyAllowance: time.Minute})
	m.stopping = true
	m.step(Stopping{})
	m.advance(elapsed)
	return m
}

// TestStopAnswersBeforeKill guards against requests that arrive during a planned stop, or were open when
// it began, and are unanswered when the platform kills the process, because their servers hang.
func TestStopAnswersBeforeKill(t *testing.T) {
	const heldUp = 150 * ms // a process may be held up for so long before it writes
	for _, arrival := range []time.Duration{0, 100 * ms, 690 * ms, 710 * ms, 1200 * ms, 2 * time.Second,
		killAfter - heldUp - ms, killAfter - heldUp, killAfter - ms} {
		for _, stream := range []bool{false, true} {
			m := stopBefore(t, arrival)
			if stream {
				m.sendStream(1, 1)
				m.completeBody(m.requests[0])
			} else {
				m.sendRequest(1, 1)
			}
			m.writeRequests()
			req := m.requests[0]
			if wait := killAfter - heldUp - arrival; wait > 0 {
				m.advance(wait)
			} else {
				m.advance(ms)
			}
			if req.answers != 1 {
				t.Errorf("streamed %t, %v after the stop began: no answer when the process may be killed", stream,
					arrival)
			}
		}
	}
	m := newModel(t)
	m.openClient(1)
	req := &modelRequest{conn: 1, class: 1, deadline: m.now + time.Minute}
	m.clients[1], m.requests = req, append(m.requests, req)
	m.step(RequestReceived{Conn: 1, Name: "1", Class: 1, Deadline: req.deadline, Payload: req})
	m.writeRequests()
	m.stopping = true
	m.step(Stopping{})
	if m.advance(killAfter - heldUp); req.answers != 1 {
		t.Error("a request that was open when the stop began has no answer when the process may be killed")
	}
}

// TestEarliestKill checks the time that a stop leaves for answers: the longest deadline that is offered,
// 3 s at most, and 0.7 s, without the 0.15 s for which a process may be held up.
func TestEarliestKill(t *testing.T) {
	for _, tc := range []struct{ longest, dropped, want time.Duration }{
		{300 * ms, 0, 850 * ms},
		{3 * time.Second, 0, 3550 * ms},
		{time.Minute, 0, 3550 * ms},
		{300 * ms, time.Minute, 850 * ms},
	} {
		m := newModel(t)
		classes := []lg.Class{{Deadline: tc.longest / 2}, {Deadline: tc.longest}}
		m.s.cfg.Settings.Offered = len(classes)
		m.s.cfg.Settings.Classes = append(classes, lg.Class{Deadline: tc.dropped})
		m.stopping = true
		m.step(Stopping{})
		if got := m.s.stopDeadline - m.now; got != tc.want {
			t.Errorf("%v, a dropped class %v: %v, want %v", tc.longest, tc.dropped, got, tc.want)
		}
	}
}

// TestUploadDuringStopIsNotCutShort checks that a stop gives no answer to a request that is still
// arriving, and that one which arrives after the earliest kill has its client's time again.
func TestUploadDuringStopIsNotCutShort(t *testing.T) {
	m := stopBefore(t, 100*ms)
	m.sendStream(1, 1)
	req := m.requests[0]
	m.writeRequests()
	if m.advance(killAfter); req.answers != 0 {
		t.Fatal("answered while it arrives")
	}
	m.completeBody(req)
	m.advance(time.Second)
	for id, conn := range m.serverConns {
		if conn.req == req {
			m.endExchange(id, lg.OK, true)
		}
	}
	if req.answers != 1 || req.verdict != Served {
		t.Errorf("%d answers, verdict %v", req.answers, req.verdict)
	}
}
