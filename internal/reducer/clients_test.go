package reducer

import (
	"testing"
	"time"

	lg "lilacglade"
)

// TestFullHouseIsRefused guards against a leg beyond the cap losing what it asks.
func TestFullHouseIsRefused(t *testing.T) {
	m := newModel(t)
	for leg := LegID(1); int(leg) <= m.s.cfg.MaxCallers; leg++ {
		m.callers[leg] = nil
		m.step(CallerOpened{leg})
		m.ask(leg, 0)
	}
	m.callers[99] = nil
	m.step(CallerOpened{99})
	if v := m.verdict(CallerAsked{Leg: 99, Deadline: m.now + time.Second}); v != Busy {
		t.Errorf("verdict %d", v)
	}
}

// TestBadCallersAreEnded guards against callers who hold a leg by saying nothing, or half of
// something: each is closed or told so within three seconds of connecting. One that has asked
// keeps its leg for longer.
func TestBadCallersAreEnded(t *testing.T) {
	m, c := started(t)
	m.step(HopWritten{Leg: 1, OK: true})
	m.end(1, lg.OK, true)
	delete(m.writing, c.leg)
	m.callers[c.leg] = nil
	m.step(CallerWritten{Leg: c.leg, OK: true})
	m.open(2)
	m.open(3)
	m.pass(askWithin - ms) // says nothing for as long as it can, then half a request
	m.step(CallerReading{Leg: 3})
	m.pass(3*time.Second - askWithin)
	if m.kept(2) || !m.writing[3] {
		t.Error("a silent caller kept, or a slow one not told")
	}
	if !m.kept(c.leg) {
		t.Error("a caller that had asked was closed")
	}
	if m.pass(idleWithin); len(m.callers) != 1 {
		t.Error("an idle leg kept for good")
	}
}

// TestRoomIsMade guards against legs that nobody uses crowding out the others: silent ones go
// first, then those idle longest, from half the cap on; one that has just come in stays as long as there
// is room, since its caller has most likely asked by now.
func TestRoomIsMade(t *testing.T) {
	m, c := started(t)
	m.step(HopWritten{Leg: 1, OK: true})
	m.end(1, lg.OK, true)
	delete(m.writing, c.leg)
	m.callers[c.leg] = nil
	m.step(CallerWritten{Leg: c.leg, OK: true})
	half := LegID(m.s.cfg.MaxCallers / 2)
	for leg := LegID(2); leg <= half; leg++ {
		m.open(leg)
		m.now += ms
	}
	m.pass(soonAsked)
	m.open(half + 1)
	if m.kept(2) || !m.kept(c.leg) || m.s.held() != int(half) {
		t.Errorf("kept a silent leg %t among %d", m.kept(2), m.s.held())
	}
	for leg := half + 2; m.kept(c.leg) && leg < 40; leg++ {
		m.open(leg)
	}
	if !m.kept(half+1) || m.kept(c.leg) {
		t.Error("a leg that has just come in made room for others")
	}
	m = newModel(t)
	most := LegID(m.s.cfg.MaxCallers)
	for leg := LegID(1); leg <= most; leg++ {
		m.open(leg)
	}
	if m.s.held() != int(most) {
		t.Errorf("%d legs held of %d that have just come in", m.s.held(), most)
	}
	if m.open(most + 1); m.kept(1) || !m.kept(most+1) || m.s.held() != int(most) {
		t.Errorf("%d legs held where there is no room", m.s.held())
	}
}

// TestNewCallerMayAsk guards against letting go of a caller who connected just before the others are let
// go, or after, and is about to ask; and against waiting for good for one who never does.
func TestNewCallerMayAsk(t *testing.T) {
	for _, late := range []time.Duration{-ms, 0, ms} {
		m := newModel(t)
		m.open(1)
		m.pass(soonAsked)
		m.stopped = true
		m.step(Stopping{})
		m.pass(drainFor + late)
		m.open(2)
		m.open(3)
		m.pass(2 * drainEvery)
		if m.kept(1) || !m.kept(2) {
			t.Fatalf("%v: the old caller kept %t, the new one %t", late, m.kept(1), m.kept(2))
		}
		n := len(m.calls)
		m.ask(2, 0)
		c := m.calls[n]
		if m.pass(soonAsked); m.kept(3) {
			t.Errorf("%v: a silent caller kept", late)
		}
		if m.pass(time.Second); c.answers != 1 {
			t.Errorf("%v: no answer", late)
		}
	}
}

// TestNameInUse guards against a request in another's name: it must not reach a next hop while
// the first may, whether or not that one's caller is still there.
func TestNameInUse(t *testing.T) {
	m, c := started(t)
	again := CallerAsked{Leg: 2, Name: "1", Deadline: c.deadline}
	m.open(2)
	if v := m.verdict(again); v != Taken {
		t.Errorf("verdict %d", v)
	}
	m.forget(1)
	m.step(CallerClosed{1})
	m.open(3)
	if again.Leg = 3; m.verdict(again) != Taken {
		t.Error("taken on, though the first may still be at a next hop")
	}
	m.pass(time.Second)
	again.Leg, again.Deadline, again.Payload = 4, m.now+time.Second, &call{leg: 4}
	m.open(4)
	for _, e := range m.s.Step(m.now, again) {
		if e.Do == AnswerCaller && e.Verdict == Taken {
			t.Error("the name is taken though the first one is over")
		}
	}
}
