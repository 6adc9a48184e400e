package faulttest

import (
	"syscall"
	"time"

	"lilacglade/internal/maintenance"
)

// Staff are who works on machines: one that is told free is switched off at once, worked on, and started
// anew.

// beginMaintenance has staff work on a machine that a process has told free, once. The caller holds h.mu.
func (h *harness) beginMaintenance(w *maintenance.Work, toldBy *Proc) error {
	if w.Machine.Proxy != "" && !h.renewed[w.Number] {
		h.renewed[w.Number] = true
		h.tasks.Add(1)
		go h.restart(w.Machine.Proxy)
		return nil
	}
	for _, m := range h.machines {
		if m.ID != w.Machine.ID || !m.Running() || float64(m.Started) != w.Machine.Started {
			continue
		}
		h.logf("%s is told free by way of %s", m.ID, toldBy.Name)
		if err := m.Off(); err != nil {
			return err
		}
		h.tasks.Add(1)
		time.AfterFunc(h.scenario.Work, func() {
			defer h.tasks.Done()
			h.on(m)
		})
	}
	return nil
}

// restart ends and starts a proxy whose own machine was told free: nobody may be harmed by its end.
func (h *harness) restart(name string) {
	defer h.tasks.Done()
	p, err := h.proc(name)
	if err != nil {
		h.fail(err)
		return
	}
	h.logf("%s is told free: it is ended and started anew", name)
	p.Signal(syscall.SIGTERM)
	if err := p.Start(); err != nil {
		h.fail(err)
	}
}

// on starts a machine anew.
func (h *harness) on(m *Machine) {
	m.mu.Lock()
	gone := m.gone
	m.mu.Unlock()
	if gone {
		return
	}
	var err error
	h.discovery.Change(func() { err = m.On() })
	if err != nil {
		h.fail(err)
	}
	h.logf("%s has started anew", m.ID)
}

// byHand is the way before orders: list a machine as draining, wait for so long, switch it off, work on it,
// start it anew, and list it as ready; then the next.
func (h *harness) byHand(ids []string, wait time.Duration) {
	defer h.tasks.Done()
	for _, id := range ids {
		m, err := h.machine(id)
		if err != nil {
			h.fail(err)
			return
		}
		h.listAsDraining(m, true)
		time.Sleep(wait) // this is what staff do
		m.Die()
		time.Sleep(h.scenario.Work)
		h.listAsDraining(m, false)
		h.on(m)
	}
	h.mu.Lock()
	h.calls["by-hand"] = nil
	h.mu.Unlock()
}

// listAsDraining has discovery list a machine as draining, or as ready.
func (h *harness) listAsDraining(m *Machine, draining bool) {
	h.discovery.Change(func() {
		m.mu.Lock()
		m.drains = draining
		m.mu.Unlock()
	})
}
