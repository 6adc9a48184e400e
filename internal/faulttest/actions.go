package faulttest

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// errAction is of an action that docs/rig.md does not list.
var errAction = errors.New("not understood")

// fleetActions are those on everything, or with several arguments. Each gets all fields, its word first.
var fleetActions = map[string]func(h *harness, f []string) error{
	"submit":    (*harness).submit,
	"call":      (*harness).call,
	"split":     (*harness).split,
	"cap":       (*harness).limitConnections,
	"replace":   (*harness).replace,
	"hand":      (*harness).hand,
	"slow":      (*harness).slow,
	"skew":      (*harness).skew,
	"discovery": (*harness).listService,
}

// machineActions are those on one machine, or on a list of them one after the other.
var machineActions = map[string]func(h *harness, m *Machine) error{
	"die":    func(_ *harness, m *Machine) error { m.Die(); return nil },
	"on":     func(h *harness, m *Machine) error { h.on(m); return nil },
	"move":   func(_ *harness, m *Machine) error { return m.Move() }, // it comes back at another address
	"silent": func(_ *harness, m *Machine) error { m.silence(); return nil },
	"hide":   func(h *harness, m *Machine) error { h.discovery.Hide(m.ID, true); return nil },
	"list":   func(h *harness, m *Machine) error { h.discovery.Hide(m.ID, false); return nil },
}

// procActions are those on one proxy, or on a list of them or all, one after the other. Each gets all fields.
var procActions = map[string]func(h *harness, p *Proc, f []string) error{
	"kill":      sendSignal(syscall.SIGKILL),
	"term":      sendSignal(syscall.SIGTERM),
	"pause":     sendSignal(syscall.SIGSTOP),
	"continue":  sendSignal(syscall.SIGCONT),
	"reload":    sendSignal(syscall.SIGHUP),
	"start":     func(_ *harness, p *Proc, _ []string) error { return p.Start() },
	"know":      func(h *harness, p *Proc, _ []string) error { return p.know(h.discovery.then()) },
	"upgrade":   func(_ *harness, p *Proc, _ []string) error { p.upgrade(); return nil },
	"downgrade": func(_ *harness, p *Proc, _ []string) error { p.downgrade(); return nil },
	"full":      func(_ *harness, p *Proc, _ []string) error { return p.fillDisk() },
	"empty":     func(_ *harness, p *Proc, _ []string) error { return p.emptyDisk() },
	"lose":      func(_ *harness, p *Proc, _ []string) error { return p.loseDisk() },
	"damage":    func(_ *harness, p *Proc, _ []string) error { return p.damageDisk() },
	"keep":      func(_ *harness, p *Proc, _ []string) error { return p.keepDisk() },
	"return":    func(_ *harness, p *Proc, _ []string) error { return p.returnDisk() },
	"cut":       (*harness).impair,
	"reset":     (*harness).impair,
	"half":      (*harness).impair,
	"delay":     (*harness).impair,
	"drip":      (*harness).impair,
}

// sendSignal is the action of sending a proxy a signal.
func sendSignal(sig syscall.Signal) func(*harness, *Proc, []string) error {
	return func(_ *harness, p *Proc, _ []string) error {
		p.Signal(sig)
		return nil
	}
}

// do does one thing.
func (h *harness) do(action string) error {
	if action == "heal" {
		h.heal()
		return nil
	}
	f := strings.Fields(action)
	if len(f) < 2 {
		return errAction
	}
	if act := fleetActions[f[0]]; act != nil {
		return act(h, f)
	}
	if act := machineActions[f[0]]; act != nil {
		return h.doToMachines(act, f)
	}
	if names := h.procNames(f[1]); len(names) > 0 {
		return h.doToEach(f, names)
	}
	return h.doToProc(f)
}

// doToEach does one thing with each of several.
func (h *harness) doToEach(f, names []string) error {
	for _, name := range names {
		if err := h.do(f[0] + " " + strings.Join(append([]string{name}, f[2:]...), " ")); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) doToMachines(act func(*harness, *Machine) error, f []string) error {
	if ids := strings.Split(f[1], ","); len(ids) > 1 {
		return h.doToEach(f, ids)
	}
	m, err := h.machine(f[1])
	if err != nil {
		return err
	}
	return act(h, m)
}

// doToProc does one thing with one proxy, whose clients may get no answer meanwhile.
func (h *harness) doToProc(f []string) error {
	p, err := h.proc(f[1])
	if err != nil {
		return err
	}
	if f[1] == "leader" {
		h.logf("the leader is %s", p.Name)
	}
	if i := slices.Index(h.procs, p); i < len(h.clients) {
		h.clients[i].disturb(true)
		defer h.clients[i].disturb(false)
	}
	act := procActions[f[0]]
	if act == nil {
		return errAction
	}
	return act(h, p, f)
}

// limitConnections is "cap m0 20": the connections that a machine takes from now on.
func (h *harness) limitConnections(f []string) error {
	m, err := h.machine(f[1])
	if err != nil || len(f) != 3 {
		return errors.Join(err, errors.New("want: cap MACHINE CONNECTIONS"))
	}
	m.mu.Lock()
	m.most, err = strconv.Atoi(f[2])
	m.mu.Unlock()
	return err
}

// slow is "slow 300ms": what each request takes besides, at all machines.
func (h *harness) slow(f []string) error {
	d, err := time.ParseDuration(f[1])
	for _, m := range h.machines {
		m.mu.Lock()
		m.slow = d
		m.mu.Unlock()
	}
	return err
}

// skew is "skew on": half of the requests carry one key.
func (h *harness) skew(f []string) error {
	h.skewed.Store(f[1] == "on")
	return nil
}

// hand is "hand m0,m1 wait 2s": staff take them out by discovery alone, one after the other.
func (h *harness) hand(f []string) error {
	if len(f) != 4 {
		return errors.New("want: hand MACHINES wait TIME")
	}
	wait, err := time.ParseDuration(f[3])
	if err != nil {
		return err
	}
	h.tasks.Add(1)
	go h.byHand(strings.Split(f[1], ","), wait)
	return nil
}

// replace is "replace m0 by m4": another machine takes the address of one that is off for good.
func (h *harness) replace(f []string) error {
	if len(f) != 4 {
		return errors.New("want: replace MACHINE by MACHINE")
	}
	old, err := h.machine(f[1])
	if err != nil {
		return err
	}
	by, err := h.machine(f[3])
	if err != nil {
		return err
	}
	addr := old.retire()
	by.mu.Lock()
	by.addr = addr
	by.mu.Unlock()
	h.discovery.Hide(old.ID, true)
	h.on(by)
	h.discovery.Hide(by.ID, false)
	return nil
}
