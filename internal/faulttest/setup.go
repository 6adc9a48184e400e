package faulttest

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"lilacglade/internal/maintenance"
)

// build sets up everything that the scenario names and starts the processes.
func (h *harness) build(binary string) error {
	if err := h.buildMachines(); err != nil {
		return err
	}
	if err := h.buildDiscovery(); err != nil {
		return err
	}
	if err := h.buildProcesses(binary); err != nil {
		return err
	}
	if err := h.connect(); err != nil {
		return err
	}
	for _, p := range h.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// buildMachines starts the machines, in two zones and of two models by turns.
func (h *harness) buildMachines() error {
	for i := range h.scenario.Machines {
		m, err := NewMachine(fmt.Sprintf("m%d", i), fmt.Sprintf("z%d", i%2), fmt.Sprintf("k%d", i/2%2), h.fail)
		if err != nil {
			return err
		}
		m.most = h.scenario.Conns
		if m.slow = h.scenario.Takes; h.scenario.Serial {
			m.desk = make(chan struct{}, 1)
		}
		h.machines = append(h.machines, m)
	}
	return nil
}

// buildDiscovery starts the list service; the spare machines are off and not listed.
func (h *harness) buildDiscovery() (err error) {
	if h.discovery, err = NewDiscovery(h.machines); err != nil {
		return err
	}
	h.discovery.work, h.discovery.waits = h.scenario.List, h.scenario.Waits
	for _, m := range h.machines[max(0, len(h.machines)-h.scenario.Spare):] {
		m.Die()
		h.discovery.Hide(m.ID, true)
	}
	return nil
}

// buildProcesses gives each process its addresses; none is started yet.
func (h *harness) buildProcesses(binary string) error {
	for i := range h.scenario.Proxies {
		name := fmt.Sprintf("n%d", i)
		p := &Proc{Name: name, binary: binary, dir: filepath.Join(h.dir, name), alone: h.scenario.Alone}
		if p.clock = h.scenario.Clocks[p.Name]; slices.Contains(h.scenario.Old, p.Name) {
			p.level = maintenance.LevelFirst
		}
		if err := p.assignAddresses(); err != nil {
			return err
		}
		h.procs = append(h.procs, p)
	}
	return nil
}

// connect puts relays between the processes, writes their files and gives them clients.
func (h *harness) connect() error {
	founders := h.founders()
	all := cmp.Or(h.scenario.Told, len(h.procs))
	for i, p := range h.procs {
		peers, err := h.relaysFrom(p)
		if err != nil {
			return err
		}
		if err := p.configure(i, all, h.discovery.Addr(), founders, peers); err != nil {
			return err
		}
		if h.scenario.Busy > 0 && i >= h.scenario.Busy {
			continue
		}
		h.clients = append(h.clients, &clients{proc: p, fault: h.fail,
			every: max(h.scenario.Every, time.Millisecond), skewed: &h.skewed})
	}
	return nil
}

// founders are the names of the processes that vote first.
func (h *harness) founders() (names []string) {
	for i := range max(1, min(cmp.Or(h.scenario.Founders, 3), len(h.procs))) {
		names = append(names, h.procs[i].Name)
	}
	return names
}

// relaysFrom opens relays from a process to all others, and says at which address each of them is reached.
func (h *harness) relaysFrom(p *Proc) (map[string]string, error) {
	peers := map[string]string{}
	for _, other := range h.procs {
		if other == p || h.scenario.Alone {
			continue
		}
		relay, err := NewRelay(other.peersAt)
		if err != nil {
			return nil, err
		}
		h.relays[[2]string{p.Name, other.Name}] = relay
		peers[other.Name] = relay.Addr()
	}
	return peers, nil
}
