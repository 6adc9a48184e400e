package maintenancesim

import (
	"fmt"
	"slices"
	"time"

	"lilacglade/internal/coordination"
	"lilacglade/internal/maintenance"
)

// flight is a request at a machine.
type flight struct {
	machine string
	over    bool
	alone   bool // begun without a lease: no promise holds for it
}

// ask begins a request, if there is a machine that may have it.
func (p *proxy) ask() {
	w := p.w
	p.react()
	if !p.alive {
		return
	}
	m := w.machines[w.rng.IntN(len(w.machines))]
	if p.left || p.holds.Blocks(m.ID) || !m.ready {
		return
	}
	who, f := p.key(), &flight{machine: m.ID, alone: p.holds.Alone()}
	if !f.alone {
		w.judge.RequestStarted(who, m.ID)
	}
	p.open[m.ID]++
	p.flights = append(p.flights, f)
	takes := w.between(5*time.Millisecond, 150*time.Millisecond)
	if w.rng.IntN(8) == 0 {
		takes = w.between(0, grace)
	}
	if w.rng.IntN(30) == 0 && w.cfg.Break == NoCut {
		takes = 30 * time.Second
	}
	inc := p.inc
	w.at(takes, func() { // at the machine it is over, whatever the process does
		if f.over || !p.alive || p.inc != inc {
			return
		}
		p.end(f)
		p.later(0, func() { // and the process hears of it when it runs
			p.open[m.ID]--
			p.flights = slices.DeleteFunc(p.flights, func(o *flight) bool { return o == f })
			p.react()
		})
	})
}

// end ends a request at its machine.
func (p *proxy) end(f *flight) {
	if f.over = true; !f.alone {
		p.w.judge.RequestEnded(p.key(), f.machine)
	}
}

// endAll cuts what is open at a machine.
func (p *proxy) endAll(id string) {
	for _, f := range p.flights {
		if f.machine == id && !f.over {
			p.end(f)
			p.open[id]--
		}
	}
	p.flights = slices.DeleteFunc(p.flights, func(o *flight) bool { return o.over && o.machine == id })
}

// kill ends the process at once.
func (p *proxy) kill() {
	if !p.alive {
		return
	}
	p.w.trace("%s is killed", p.name)
	p.alive = false
	p.w.judge.ProcessDied(p.key())
}

// resume lets a paused process go on: what has come meanwhile is there.
func (p *proxy) resume() {
	if !p.alive || !p.paused {
		return
	}
	p.w.trace("%s goes on", p.name)
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// discovery tells the machines as they are listed.
func (p *proxy) discovery() {
	var all []maintenance.MachineView
	for _, m := range p.w.machines {
		all = append(all, maintenance.MachineView{Machine: m.Machine, Ready: m.ready})
	}
	p.step(coordination.Inventory{Machines: all})
	load := coordination.Load{Handled: 100, InFlight: float64(len(p.flights))}
	for _, m := range p.w.machines {
		load.Capacities = append(load.Capacities, coordination.Capacity{Machine: m.ID,
			Requests: 40 + 40*p.w.rng.Float64()})
		if p.w.rng.IntN(20) == 0 && !p.w.healed {
			load.Hot = append(load.Hot, m.ID)
		}
	}
	p.step(load)
}

// deliver carries a message over the network.
func (w *world) deliver(from, to string, raw []byte) {
	w.report.Messages++
	w.report.Bytes += len(raw)
	if w.cut[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	n := 1
	if w.rng.IntN(50) == 0 {
		n = 2 // doubled
	}
	for range n {
		d := w.between(200*time.Microsecond, 4*time.Millisecond) + w.slow[[2]string{from, to}]
		if w.rng.IntN(40) == 0 {
			d += w.between(0, 400*time.Millisecond) // out of order
		}
		w.at(d, func() {
			for _, p := range w.proxies {
				if p.name == to && p.alive {
					p.later(0, func() { p.step(coordination.MessageReceived{Raw: raw}) })
				}
			}
		})
	}
}

// staff switches machines off the moment they are told free, and brings them back.
func (w *world) staff(work *maintenance.State) {
	for _, x := range work.Works {
		if x.Step != maintenance.Free && x.Step != maintenance.Out {
			continue
		}
		for _, m := range w.machines {
			if m.ID != x.Machine.ID || m.busy || m.Started != x.Machine.Started {
				continue
			}
			m.busy, m.ready = true, w.rng.IntN(4) == 0 // discovery may go on saying ready
			w.trace("staff take %s", m.ID)
			w.at(w.between(200*time.Millisecond, 4*time.Second), func() {
				w.trace("%s has started anew", m.ID)
				m.busy, m.ready, m.Started = false, true, m.Started+1
			})
		}
	}
}

// operate gives an order to one or two proxies, and sometimes stops or ends one.
func (w *world) operate() {
	if w.healed && w.lastCall > 0 {
		return
	}
	w.at(w.between(3*time.Second, 12*time.Second), w.operate)
	w.lastCall++
	call := coordination.Call{ID: fmt.Sprintf("c%d", w.lastCall)}
	switch n := w.rng.IntN(6); {
	case n < 4 || len(w.orders) == 0:
		id := fmt.Sprintf("o%d", w.lastCall)
		w.orders = append(w.orders, id)
		spec := &maintenance.Spec{ID: id, MaxOut: 1 + w.rng.IntN(2), MaxPerZone: w.rng.IntN(3), Keep: 0.3}
		for _, m := range w.machines {
			if w.rng.IntN(2) == 0 {
				spec.Machines = append(spec.Machines, m.ID)
			}
		}
		call.Spec = spec
	case n == 4:
		id := w.orders[w.rng.IntN(len(w.orders))]
		call.Command = &maintenance.Command{Kind: maintenance.Pause, Name: id}
		w.lastCall++
		resume := coordination.Call{ID: fmt.Sprintf("c%d", w.lastCall), Command: &maintenance.Command{
			Kind: maintenance.Resume, Name: id}}
		w.at(w.between(time.Second, 5*time.Second), func() { w.insist(resume, 0) })
	default:
		call.Command = &maintenance.Command{Kind: maintenance.Cancel, Name: w.orders[w.rng.IntN(len(w.orders))]}
	}
	w.insist(call, 0)
}

// insist sends a call until it is answered, now and then to two proxies at once.
func (w *world) insist(call coordination.Call, tries int) {
	if _, ok := w.calls[call.ID]; ok || tries > 60 {
		return
	}
	if w.made[call.ID] == nil {
		m := &Call{Kind: maintenance.Submit, Began: w.now}
		if call.Command != nil {
			m.Kind, m.Order = call.Command.Kind, call.Command.Name
		} else {
			m.Order = call.Spec.ID
		}
		w.made[call.ID] = m
		w.report.Calls = append(w.report.Calls, m)
	}
	for range 1 + w.rng.IntN(2) {
		p := w.proxies[w.rng.IntN(len(w.proxies))]
		if p.alive {
			p.later(0, func() { p.step(coordination.CallReceived{Token: w.rng.Uint64(), Call: call}) })
		}
	}
	w.at(w.between(time.Second, 3*time.Second), func() { w.insist(call, tries+1) })
}

// fault injects one fault, which ends by itself or at the healing.
func (w *world) fault() {
	if w.healed {
		return
	}
	p := w.proxies[w.rng.IntN(len(w.proxies))]
	lasts := w.between(200*time.Millisecond, 12*time.Second)
	kind := w.rng.IntN(15)
	if len(w.cfg.Kinds) > 0 {
		kind = w.cfg.Kinds[w.rng.IntN(len(w.cfg.Kinds))]
	}
	switch kind {
	case 0, 1: // killed, within what it is doing; back with its disk
		if w.rng.IntN(2) == 0 {
			p = w.leader(p)
		}
		p.killAt = 1 + w.rng.IntN(6)
		w.at(lasts, p.start)
	case 2: // paused
		if p.alive && !p.paused {
			w.trace("%s is paused for %v", p.name, lasts)
			p.paused = true
			w.at(lasts, p.resume)
		}
	case 3: // hears all, is heard by none
		w.cutAll(p, true, false, lasts)
	case 4: // the reverse
		w.cutAll(p, false, true, lasts)
	case 5:
		w.cutAll(p, true, true, lasts)
	case 6: // a group from the rest
		w.split(lasts)
	case 7:
		if p.alive {
			w.trace("the disk of %s is full for %v", p.name, lasts)
			d := p.disk
			d.full = true
			w.at(lasts, func() { d.full = false })
		}
	case 8:
		w.loss = 0.3 * w.rng.Float64()
		w.at(lasts, func() { w.loss = 0 })
	case 9: // the disk is lost: only where the rest of the voters is whole
		if w.wholeBut(p) {
			w.trace("%s loses its disk", p.name)
			p.kill()
			p.disk = newDisk(w.rng)
			w.at(lasts, p.start)
		}
	case 11: // what is said to it comes late
		late := w.between(300*time.Millisecond, 2500*time.Millisecond)
		w.trace("%s hears all %v late", p.name, late)
		for _, o := range w.proxies {
			key := [2]string{o.name, p.name}
			w.slow[key] = late
			w.at(lasts, func() { delete(w.slow, key) })
		}
	case 12: // it comes back with an older copy of its disk
		if p.old != nil && w.wholeBut(p) {
			w.trace("%s comes back with an older disk", p.name)
			p.kill()
			p.disk, p.old, p.aged = p.old, nil, true
			w.at(lasts, p.start)
		} else if p.alive {
			p.old = p.disk.copy()
		}
	case 13, 14: // it starts again while it is cut off, and goes on by what its disk knows
		w.trace("%s starts again, cut off", p.name)
		p.kill()
		w.cutAll(p, w.rng.IntN(3) > 0, w.rng.IntN(3) > 0, lasts)
		w.at(w.between(0, time.Second), p.start)
	case 10: // it leaves, and comes back
		if p.alive && !p.paused {
			w.trace("%s leaves", p.name)
			p.left = true // it takes nothing more, and what it had is over
			for _, m := range w.machines {
				p.endAll(m.ID)
			}
			p.later(0, func() { p.step(coordination.Leaving{}) })
			w.at(lasts, func() {
				p.kill()
				p.start()
			})
		}
	}
}

func (w *world) leader(or *proxy) *proxy {
	for _, p := range w.proxies {
		if p.alive && p.council.IsLeader() {
			return p
		}
	}
	return or
}

// wholeBut tells whether all proxies but one have run undisturbed for long enough to have what was agreed.
func (w *world) wholeBut(p *proxy) bool {
	for _, o := range w.proxies {
		if !o.alive || o.paused || o.disk.full || o != p &&
			o.council.Maintenance().Index < p.council.Maintenance().Index {
			return false
		}
	}
	for _, cut := range w.cut {
		if cut {
			return false
		}
	}
	return p.council.Maintenance().Index > 0
}

func (w *world) cutAll(p *proxy, out, in bool, lasts time.Duration) {
	w.trace("%s is cut off: its words %t, its ears %t, for %v", p.name, out, in, lasts)
	for _, o := range w.proxies {
		if o != p && out {
			w.cutOne(p, o, lasts)
		}
		if o != p && in {
			w.cutOne(o, p, lasts)
		}
	}
}

func (w *world) cutOne(from, to *proxy, lasts time.Duration) {
	key := [2]string{from.name, to.name}
	w.cut[key] = true
	w.at(lasts, func() { w.cut[key] = false })
}

func (w *world) split(lasts time.Duration) {
	side := map[*proxy]bool{}
	for _, p := range w.proxies {
		side[p] = w.rng.IntN(3) == 0
	}
	w.trace("the network is split for %v", lasts)
	for _, p := range w.proxies {
		for _, o := range w.proxies {
			if p != o && side[p] != side[o] {
				w.cutOne(p, o, lasts)
			}
		}
	}
}

// lose loses a proxy for good. Some seconds later staff vouch that no process of it runs.
func (w *world) lose(p *proxy) {
	w.trace("%s is lost for good", p.name)
	p.kill()
	p.lost = true
	w.at(w.between(3*time.Second, 8*time.Second), func() {
		w.lastCall++
		w.insist(coordination.Call{ID: fmt.Sprintf("c%d", w.lastCall), Command: &maintenance.Command{
			Kind: maintenance.Forget, Name: p.name}}, 0)
	})
}

// heal ends all faults; from here on the orders must come through within a bound.
func (w *world) heal() {
	w.trace("all faults are over")
	w.healed = true
	clear(w.cut)
	clear(w.slow)
	w.loss = 0
	began := w.now
	for _, p := range w.proxies {
		p.killAt, p.disk.full = 0, false
		if p.resume(); p.level > 0 { // the last ones are upgraded
			p.kill()
			p.level = 0
		}
		p.start()
	}
	var resume func()
	resume = func() { // what was paused goes on, also by a call that was long on its way
		for _, o := range w.orders {
			w.lastCall++
			w.insist(coordination.Call{ID: fmt.Sprintf("c%d", w.lastCall), Command: &maintenance.Command{
				Kind: maintenance.Resume, Name: o}}, 0)
		}
		w.at(10*time.Second, resume)
	}
	w.at(time.Second, resume)
	var watch func()
	watch = func() {
		if w.now-began > healedWait {
			w.report.Fault = fmt.Errorf("%v after the last fault the orders are not through:\n%s", healedWait,
				w.status())
			return
		}
		w.report.Took = w.now - began
		w.at(500*time.Millisecond, watch)
	}
	watch()
}

func (w *world) status() string {
	for _, p := range w.proxies {
		if p.alive && p.council.IsLeader() {
			return p.council.Status()
		}
	}
	out := "no leader\n"
	for _, p := range w.proxies {
		out += fmt.Sprintf("%s alive %t paused %t index %d\n", p.name, p.alive, p.paused,
			p.council.Maintenance().Index)
	}
	return out
}
