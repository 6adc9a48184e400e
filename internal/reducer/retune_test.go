package reducer

import (
	"fmt"
	"slices"
	"testing"

	lg "lilacglade"
)

// TestRetune covers new settings under open requests: a request keeps the attempts and the effect that
// it began with, also when its class is dropped or changed; one that begins later goes by the new ones.
func TestRetune(t *testing.T) {
	m := newModel(t)
	for _, leg := range []LegID{1, 2} {
		m.callers[leg] = nil
		m.step(CallerOpened{leg})
	}
	m.ask(1, 1)
	old := m.s.cfg.Settings
	set := old
	set.MaxAttempts = 1
	set.Classes = []lg.Class{{Name: "new", Aim: 400 * ms, Deadline: 800 * ms, Worth: 5}, old.Classes[0]}
	set.Classes[1].Effect = lg.Safe
	set = set.RetainingClasses(old)
	m.step(Reloaded{Settings: &set, MaxCallers: 12, MaxHops: 8})
	c := m.s.cfg.Settings.Classes
	if set.Offered != 2 || len(c) != 4 || c[2] != old.Classes[0] || c[3] != old.Classes[1] {
		t.Fatalf("classes %+v", c)
	}
	refused := func(leg LegID) int { // how often it is tried before it is refused
		for n := 0; ; n++ {
			var hop LegID
			for id, h := range m.hops {
				if h.open = true; h.busy == nil {
					m.step(HopDialed{Leg: id, OK: true})
				}
				if h.busy != nil && h.busy.leg == leg {
					hop = id
				}
			}
			if hop == 0 {
				return n
			}
			m.step(HopWritten{Leg: hop, OK: true})
			m.end(hop, lg.Full, true)
		}
	}
	if n := refused(1); n < 2 || m.calls[0].verdict != Busy {
		t.Errorf("the old request was tried %d times", n)
	}
	m.ask(2, 0)
	if n := refused(2); n != 1 || m.calls[1].verdict != Busy {
		t.Errorf("the new request was tried %d times", n)
	}
	m.pass(publishEvery)
	var names []string
	for _, h := range m.figures.Handled {
		names = append(names, fmt.Sprint(h.Class, h.Dropped))
	}
	if want := []string{"edit0", "upload1", "new1"}; !slices.Equal(names, want) {
		t.Errorf("counted %v, want %v", names, want)
	}
}
