package reducer

import (
	"fmt"
	"testing"
	"time"

	lg "lilacglade"
)

// started returns a model with one request whose branch is on hop leg 1.
func started(t *testing.T) (*model, *call) {
	m := newModel(t)
	m.callers[1] = nil
	m.step(CallerOpened{1})
	m.ask(1, 0)
	m.hops[1].open = true
	m.step(HopDialed{Leg: 1, OK: true})
	return m, m.calls[0]
}

// verdict returns how the model's only caller was answered by one event.
func (m *model) verdict(ev Event) Verdict {
	m.t.Helper()
	for _, e := range m.s.Step(m.now, ev) {
		if e.Do == AnswerCaller {
			return e.Verdict
		}
	}
	m.t.Fatalf("%+v: no answer", ev)
	return 0
}

// open adds a caller leg that says nothing.
func (m *model) open(leg LegID) {
	m.callers[leg] = nil
	m.step(CallerOpened{leg})
}

func (m *model) ask(leg LegID, class int) {
	c := &call{leg: leg, class: class, deadline: m.now + m.s.cfg.Settings.Classes[class].Deadline}
	m.callers[leg], m.calls = c, append(m.calls, c)
	m.step(CallerAsked{Leg: leg, Name: fmt.Sprint(len(m.calls)), Class: class,
		Key: uint64(leg % 5), HasKey: true, Deadline: c.deadline, Payload: c})
}

// stream asks for something that comes in for as long as it likes.
func (m *model) stream(leg LegID, class int) {
	may := m.s.cfg.Settings.Classes[class].Deadline
	c := &call{leg: leg, class: class, stream: true, deadline: m.now + time.Hour}
	m.callers[leg], m.calls = c, append(m.calls, c)
	m.step(CallerAsked{Leg: leg, Name: fmt.Sprint(len(m.calls)), Class: class, Deadline: c.deadline, Payload: c,
		Stream: true, May: may})
}

// finishes brings the last byte of a request that streams.
func (m *model) finishes(c *call) {
	c.whole, c.deadline = true, m.now+m.s.cfg.Settings.Classes[c.class].Deadline
	m.step(CallerWhole{Leg: c.leg, Read: m.now})
}

// end is an exchange's end on a hop leg, as the sockets would tell it.
func (m *model) end(id LegID, res lg.Result, keep bool) {
	h := m.hops[id]
	if c := h.busy; c != nil {
		c.out = false
		c.mayRun = c.mayRun || !res.NeverRan()
	}
	h.busy = nil
	m.step(HopAnswered{Leg: id, Result: res, Keep: keep, Load: lg.LoadReport{N: 1, Values: [4]float64{3}}})
}

// streams begins an answer that is passed on as it comes, from a next hop to its caller.
func (m *model) streams(id LegID, c *call) {
	c.out, c.mayRun = false, true
	m.hops[id].busy, m.hops[id].feeds, m.flows[c] = nil, c, true
	m.step(HopStreams{Leg: id, Payload: c})
	if _, writing := m.writing[c.leg]; !writing || c.answers != 1 || c.verdict != Served {
		m.t.Fatal("an answer not passed on")
	}
}
