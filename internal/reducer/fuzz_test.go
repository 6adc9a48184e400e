package reducer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	lg "lilacglade"
)

func pick[V any](rng *rand.Rand, from map[LegID]V, fits func(V) bool) LegID {
	var ids []LegID
	for id, v := range from {
		if fits(v) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return ids[rng.IntN(len(ids))]
}

// random takes one step that sockets, callers or discovery could take now.
func (m *model) random(rng *rand.Rand) {
	m.now += time.Duration(rng.IntN(4)) * ms // what happens crosses with timers that are due
	switch rng.IntN(15) {
	case 0, 1, 2, 3:
		leg := pick(rng, m.callers, func(c *call) bool { return c == nil })
		if _, busy := m.writing[leg]; leg == 0 || busy || rng.IntN(3) == 0 {
			m.next++
			leg = m.next
			m.callers[leg] = nil
			m.step(CallerOpened{leg})
		}
		c, there := m.callers[leg]
		there = there && c == nil // else it was let go in the moment in which it came
		if there && rng.IntN(4) == 0 {
			m.stream(leg, rng.IntN(2))
		} else if there {
			m.ask(leg, rng.IntN(2))
		}
	case 4:
		if leg := pick(rng, m.writing, func(bool) bool { return true }); leg != 0 {
			ok, last := rng.IntN(8) > 0, m.writing[leg]
			delete(m.writing, leg)
			keep := m.flowed(leg, ok, rng.IntN(2) == 0)
			if ok && !last {
				m.callers[leg] = nil
			}
			m.step(CallerWritten{Leg: leg, OK: ok, Keep: keep})
		}
	case 5:
		if leg := pick(rng, m.callers, func(*call) bool { return true }); leg != 0 && rng.IntN(3) == 0 {
			m.forget(leg)
			m.step(CallerClosed{leg})
		}
	case 6, 7:
		if id := pick(rng, m.hops, func(h *hopModel) bool { return !h.open }); id != 0 {
			ok := rng.IntN(4) > 0
			if m.hops[id].open = ok; !ok {
				delete(m.hops, id)
			}
			m.step(HopDialed{Leg: id, OK: ok})
		}
	case 8:
		if id := pick(rng, m.hops, func(h *hopModel) bool { return h.busy != nil && !h.written }); id != 0 {
			h := m.hops[id]
			if rng.IntN(6) == 0 { // nothing could be written on it
				h.busy.out, h.busy = false, nil
				if rng.IntN(2) == 0 { // or was held up for too long
					m.step(HopUnsent{id})
				} else {
					m.step(HopUnfit{id})
				}
				break
			}
			gone := h.busy.stream && rng.IntN(2) == 0
			h.busy.gone = h.busy.gone || gone
			if h.busy.stream && !h.busy.whole && rng.IntN(4) == 0 { // the rest of it is none
				c := h.busy
				m.step(CallerSpoilt{Leg: c.leg, Slow: rng.IntN(2) == 0})
				if m.hops[id] != nil || c.answers == 0 {
					m.t.Fatal("a spoilt request kept")
				}
				break
			}
			if h.written = rng.IntN(6) > 0; !h.written { // broken before the last byte: it never ran
				h.busy.out, h.busy = false, nil
				m.step(HopClosed{id})
			} else {
				m.tries++
				if h.busy.stream && !h.busy.whole {
					m.finishes(h.busy)
				}
			}
			m.step(HopWritten{Leg: id, OK: h.written, Gone: gone})
		}
	case 9, 10:
		if id := pick(rng, m.hops, func(h *hopModel) bool { return h.written && h.busy != nil }); id != 0 {
			if c := m.hops[id].busy; rng.IntN(4) == 0 && c.answers == 0 && !c.left {
				m.streams(id, c)
				break
			}
			m.end(id, []lg.Result{lg.OK, lg.OK, lg.Full, lg.ServerError}[rng.IntN(4)], rng.IntN(4) > 0)
		}
	case 11:
		quiet := func(h *hopModel) bool { return h.open && h.feeds == nil && (h.busy == nil || h.written) }
		if id := pick(rng, m.hops, quiet); id != 0 {
			if c := m.hops[id].busy; c != nil {
				c.out, c.mayRun = false, true
			}
			delete(m.hops, id)
			m.step(HopClosed{id})
		}
	case 13:
		idle := func(h *hopModel) bool { return h.open && h.busy == nil && h.feeds == nil }
		if id := pick(rng, m.hops, idle); id != 0 {
			if m.step(HopStray{id}); m.hops[id] != nil {
				m.t.Fatal("a leg kept that brought what nobody asked for")
			}
		}
	case 14:
		if leg := pick(rng, m.callers, func(c *call) bool { return c != nil && c.answers == 0 }); leg != 0 {
			m.flooding[leg] = true
			m.step(CallerFlooding{leg})
		}
	case 12:
		if rng.IntN(4) == 0 {
			m.routes(lg.Changes, []lg.State{lg.Ready, lg.Ready, lg.Draining, lg.Gone}[rng.IntN(4)],
				lg.ServerID(1+rng.IntN(3)))
		}
	}
	m.pass(time.Duration(rng.IntN(60)) * ms)
}

// FuzzSteps checks random steps of callers, next hops and discovery against the model, then
// stops the proxy: it must end with all answered.
func FuzzSteps(f *testing.F) {
	for seed := range uint64(30) {
		f.Add(seed, 400)
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps int) {
		m, rng := newModel(t), rand.New(rand.NewPCG(seed, 1))
		for range min(steps, 2000) {
			m.random(rng)
		}
		m.counted()
		m.stopped, m.lasts = true, 2
		m.step(Stopping{})
		for range 20 {
			m.random(rng)
		}
		if v := m.s.Violations(); v.Total() > 0 {
			m.t.Fatalf("violations %v", v)
		}
		for _, c := range m.calls { // the sockets bound how long a request may come in
			if c.stream && !c.whole && c.answers == 0 && !c.left {
				m.step(CallerSpoilt{Leg: c.leg, Slow: true})
			}
		}
		for range 3 { // once more for each who came at the last moment
			m.pass(5 * time.Second)
			m.counted()
			for leg := range m.writing {
				m.flowed(leg, true, false)
				if !m.writing[leg] {
					m.callers[leg] = nil
				}
				delete(m.writing, leg)
				m.step(CallerWritten{Leg: leg, OK: true})
			}
			m.pass(2 * drainEvery)
		}
		if !m.done || len(m.s.requests)+len(m.s.names) != 0 || m.lasts > 0 {
			t.Fatalf("finished %t with %d requests left, %d callers not told", m.done, len(m.s.requests), m.lasts)
		}
	})
}
