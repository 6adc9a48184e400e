package reducer

import (
	"math/rand/v2"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/pool"
)

// TestBreakBeforeTheLastByte guards against calling an exchange done that never was, and the
// other way round: how far the writing came decides, in whichever order the two are told.
func TestBreakBeforeTheLastByte(t *testing.T) {
	m, c := started(t)
	m.step(HopClosed{1})
	m.hops[1].busy, c.out = nil, false
	m.step(HopWritten{Leg: 1, OK: false})
	if c.answers != 0 || len(m.hops) != 1 {
		t.Fatal("not sent again, though it never ran")
	}
	m, _ = started(t)
	m.step(HopClosed{1})
	if v := m.verdict(HopWritten{Leg: 1, OK: true}); v != Broken {
		t.Errorf("verdict %d for a request that may have run", v)
	}
}

// TestEarlyAnswerEndsItsLeg guards against a leg that stays among its next hop's while the rest of a request
// is written that was turned away already: the next request there would be refused for want of a leg.
func TestEarlyAnswerEndsItsLeg(t *testing.T) {
	m, _ := started(t)
	server := m.hops[1].server
	m.end(1, lg.Full, false)
	for _, h := range m.s.pool.Stats() {
		if h.ID == server && h.Legs > 0 || m.hops[1] != nil {
			t.Errorf("%d legs kept", h.Legs)
		}
	}
	m.step(HopWritten{Leg: 1, OK: true}) // what was under way comes to nothing
	m.pass(time.Second)
}

// TestDrainHeardWhileDialing guards against a first byte to a next hop that has begun to drain, and against
// waiting for a leg to it: the request goes on at once, and is refused at once where there is no other.
func TestDrainHeardWhileDialing(t *testing.T) {
	m := newModel(t)
	m.open(1)
	m.ask(1, 0)
	c, at := m.calls[0], m.now
	for tries := LegID(1); tries <= 3; tries++ {
		if c.answers > 0 || m.hops[tries] == nil {
			t.Fatalf("%d legs, %d answers while there was another next hop", len(m.hops), c.answers)
		}
		m.routes(lg.Changes, lg.Draining, m.hops[tries].server)
	}
	if c.answers != 1 || c.verdict != Busy || m.now != at {
		t.Errorf("%d answers, verdict %d", c.answers, c.verdict)
	}
	for id := range m.hops { // comes up all the same, and the model watches that nothing goes there
		m.hops[id].open = true
		m.step(HopDialed{Leg: id, OK: true})
	}
	if len(m.hops) > 0 {
		t.Errorf("%d legs kept to next hops that take nothing new", len(m.hops))
	}
}

// TestLegComesUpTooLate guards against writing a request on a leg that comes up in the moment in which
// the request's time is over, before its timer; and a repeat after the window in which repeats are dropped.
func TestLegComesUpTooLate(t *testing.T) {
	for _, tc := range []struct {
		name          string
		window, until time.Duration // from the first Forward on; until: of the leg's coming up
		forwarded     bool
	}{
		{"in time", 300 * ms, 250 * ms, true},
		{"at the window's end", 300 * ms, 300 * ms, false},
		{"after it", 300 * ms, 310 * ms, false},
	} {
		m := newModel(t)
		m.s.cfg.Settings.Classes[1].Memory, m.s.cfg.Settings.ConnectTimeout = tc.window, 10*time.Second
		module, err := lg.New(m.s.cfg.Settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		m.s.bal = module
		m.routes(lg.FullList, lg.Ready, 1, 2, 3)
		m.callers[1] = nil
		m.step(CallerOpened{1})
		m.ask(1, 1)
		m.hops[1].open = true
		m.step(HopDialed{Leg: 1, OK: true})
		began := m.now
		m.now += 200 * ms
		m.step(HopWritten{Leg: 1, OK: true})
		m.end(1, lg.ServerError, false) // it may have run; the repeat has a leg opened
		id := pick(rand.New(rand.NewPCG(1, 1)), m.hops, func(h *hopModel) bool { return !h.open })
		if id == 0 {
			t.Fatalf("%s: not repeated", tc.name)
		}
		m.hops[id].open, m.now = true, began+tc.until
		m.step(HopDialed{Leg: id, OK: true})
		if got := m.hops[id] != nil && m.hops[id].busy != nil; got != tc.forwarded {
			t.Errorf("%s: repeated %t", tc.name, got)
		}
	}
	m := newModel(t)
	m.callers[1] = nil
	m.step(CallerOpened{1})
	m.ask(1, 0)
	m.hops[1].open, m.now = true, m.calls[0].deadline-margin
	if v := m.verdict(HopDialed{Leg: 1, OK: true}); v != Busy {
		t.Errorf("verdict %d for what was never sent", v)
	}
}

// TestDeadlineHoldsWithoutTheModule covers a request that stays on a silent next hop.
func TestDeadlineHoldsWithoutTheModule(t *testing.T) {
	m, c := started(t)
	m.step(HopWritten{Leg: 1, OK: true})
	m.pass(c.deadline - m.now - margin - 1)
	if c.answers != 0 {
		t.Fatal("answered early")
	}
	m.now += 1
	if v := m.verdict(Woken{}); v != Late {
		t.Errorf("verdict %d", v)
	}
}

// TestTheModuleIsNotTakenAtItsWord guards against a second branch beside one that is out, and
// against a refusal of what may have run, whoever asks for it.
func TestTheModuleIsNotTakenAtItsWord(t *testing.T) {
	m, _ := started(t)
	m.s.effects = m.s.effects[:0]
	m.s.act(lg.Action{Do: lg.Send, Request: 1, Server: 2})
	if len(m.s.effects) != 0 {
		t.Errorf("sent twice: %+v", m.s.effects)
	}
	m.s.act(lg.Action{Do: lg.Refuse, Request: 1})
	if len(m.s.effects) != 1 || m.s.effects[0].Verdict != Broken {
		t.Errorf("got %+v", m.s.effects)
	}
}

// TestUnfitLegIsReplaced guards against an answer that belongs to nobody being taken for the
// next request's: a leg that brought something is closed, and the request goes on another.
func TestUnfitLegIsReplaced(t *testing.T) {
	m, c := started(t)
	m.hops[1].busy, c.out = nil, false
	m.step(HopUnfit{1})
	if m.hops[1] != nil || len(m.hops) != 1 || m.hops[2].server != 0 && c.answers != 0 {
		t.Errorf("legs %v, %d answers", m.hops, c.answers)
	}
}

// TestDialLeavesTimeForAnother guards against waiting for one next hop that can't be reached
// until it is too late for the others.
func TestDialLeavesTimeForAnother(t *testing.T) {
	m := newModel(t)
	m.open(1)
	for _, e := range m.s.Step(m.now, CallerAsked{Leg: 1, Name: "1", Deadline: m.now + 300*ms}) {
		if e.Do == Dial && e.At > m.now+75*ms {
			t.Errorf("dials for %v of 300 ms", e.At-m.now)
		}
	}
}

// TestTrustInIdleLegs guards against writing on legs that the other side has long dropped.
func TestTrustInIdleLegs(t *testing.T) {
	m, c := started(t)
	m.step(HopWritten{Leg: 1, OK: true})
	m.end(1, lg.OK, true)
	delete(m.writing, c.leg)
	m.callers[c.leg] = nil
	m.step(CallerWritten{Leg: c.leg, OK: true})
	for id := range m.state {
		if id != m.hops[1].server {
			m.routes(lg.Changes, lg.Draining, id)
		}
	}
	rested := *m.s.legs[1].Leg
	rested.Rested = 100 * ms
	for range 40 {
		m.s.pool.Learn(m.s.now, &rested, pool.Broke)
	}
	m.now += 200 * ms
	if m.ask(c.leg, 0); m.hops[1] != nil || len(m.hops) != 1 {
		t.Error("a leg used that is no longer trusted")
	}
}
