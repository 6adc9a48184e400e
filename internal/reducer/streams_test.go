package reducer

import (
	"testing"
	"time"
)

// TestStreamTimeCountsFromItsLastByte guards against giving up on a request while it comes in, and
// against never giving up on it; and its attempt's latency must not count how long the caller took.
func TestStreamTimeCountsFromItsLastByte(t *testing.T) {
	m := newModel(t)
	m.callers[1] = nil
	m.step(CallerOpened{1})
	m.stream(1, 0)
	m.hops[1].open = true
	m.step(HopDialed{Leg: 1, OK: true})
	c := m.calls[0]
	for range 20 {
		m.pass(time.Second)
	}
	if c.answers > 0 {
		t.Fatal("given up while it came in")
	}
	m.finishes(c)
	m.step(HopWritten{Leg: 1, OK: true, Gone: true})
	m.pass(800*ms - margin - ms)
	if c.answers > 0 {
		t.Fatal("given up too early")
	}
	if m.pass(2 * ms); c.answers != 1 || c.verdict != Late {
		t.Errorf("%d answers, verdict %d", c.answers, c.verdict)
	}
}
