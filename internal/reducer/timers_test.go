package reducer

import (
	"runtime"
	"testing"
	"time"
	"weak"

	lg "lilacglade"
)

// TestEndedRequestReleasesBody guards against bodies that stay in memory until their request's
// deadline, however early the request was answered: at 320 of them a second the process outgrew its
// limit and was killed.
func TestEndedRequestReleasesBody(t *testing.T) {
	for name, end := range map[string]func(s *State, now time.Duration){
		"answered": func(s *State, now time.Duration) {
			s.Step(now, RequestWritten{Conn: 1, OK: true})
			s.Step(now, ServerAnswered{Conn: 1, Result: lg.OK, Reusable: true})
		},
		"its client left while its server works on it": func(s *State, now time.Duration) {
			s.Step(now, RequestWritten{Conn: 1, OK: true})
			s.Step(now, ClientClosed{1})
		},
		"its client left while it waited for a connection": func(s *State, now time.Duration) {
			s.Step(now, ClientClosed{1})
		},
		"its answer streams": func(s *State, now time.Duration) {
			s.Step(now, RequestWritten{Conn: 1, OK: true})
			s.Step(now, ResponseStarted{1})
			s.Step(now, ResponseStreaming{Conn: 1})
		},
	} {
		m := newModel(t)
		m.openClient(1)
		body := make([]byte, 64<<10)
		released := weak.Make(&body[0])
		s, now := m.s, m.now
		s.Step(now, RequestReceived{Conn: 1, Name: "1", Class: 1, Deadline: now + time.Hour, Payload: body})
		if name != "its client left while it waited for a connection" {
			s.Step(now, ServerDialed{Conn: 1, OK: true})
		}
		end(s, now)
		s.Step(now, ClientOpened{2}) // the effects of the step before are let go
		body = nil
		if runtime.GC(); released.Value() != nil {
			t.Errorf("%s: the body is still in memory", name)
		}
		runtime.KeepAlive(s)
	}
}

// TestTimersOfEndedRequestAreRemoved guards against a timer queue that grows with the requests of the
// last seconds.
func TestTimersOfEndedRequestAreRemoved(t *testing.T) {
	m := newModel(t)
	m.openClient(1)
	m.advance(time.Second)
	queued := len(m.s.timers.heap)
	for range 50 {
		m.sendRequest(1, 0)
		m.writeRequests()
		for id, conn := range m.serverConns {
			if conn.req != nil {
				m.endExchange(id, lg.OK, true)
			}
		}
		delete(m.writing, 1)
		m.clients[1] = nil
		m.step(ResponseWritten{Conn: 1, OK: true})
		m.now += ms
	}
	// The module's own timers and those of the pool of connections come and go.
	if added := len(m.s.timers.heap) - queued; added > 10 {
		t.Errorf("%d timers are left of 50 requests that ended", added)
	}
}

// TestRemovedTimer checks that a removed timer never runs, that the others keep their order, and that
// one which has run can be removed.
func TestRemovedTimer(t *testing.T) {
	var q timerQueue
	var ran []int
	var timers []*timer
	for i := range 20 {
		timers = append(timers, q.add(time.Duration(i*7%20), func() { ran = append(ran, i*7%20) }))
	}
	for i := 0; i < 20; i += 2 {
		q.remove(timers[i])
	}
	for run := q.next(time.Hour); run != nil; run = q.next(time.Hour) {
		run()
	}
	q.remove(timers[1])
	q.remove(nil)
	if len(ran) != 10 {
		t.Fatalf("%d ran of 10 that were left", len(ran))
	}
	for i := 1; i < len(ran); i++ {
		if ran[i-1] >= ran[i] {
			t.Errorf("%d ran before %d", ran[i-1], ran[i])
		}
	}
}
