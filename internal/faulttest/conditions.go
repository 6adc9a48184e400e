package faulttest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lilacglade/internal/maintenance"
)

// condition is one word that a step's When may begin with. observed gets all fields, the word first.
type condition struct {
	fields   int  // how many there are
	more     bool // there may be more
	observed func(h *harness, f []string) (bool, error)
}

// conditions are all of them but "MACHINE is STEP". docs/rig.md lists them.
var conditions = map[string]condition{
	"ready":     {fields: 2, observed: (*harness).readyObserved},
	"running":   {fields: 2, observed: (*harness).runningObserved},
	"gone":      {fields: 2, observed: (*harness).goneObserved},
	"log":       {fields: 3, more: true, observed: (*harness).logObserved},
	"leader":    {fields: 1, observed: (*harness).leaderObserved},
	"voters":    {fields: 3, observed: (*harness).votersObserved},
	"level":     {fields: 3, observed: (*harness).levelObserved},
	"why":       {fields: 3, more: true, observed: (*harness).whyObserved},
	"served":    {fields: 3, observed: (*harness).servedObserved},
	"more":      {fields: 3, observed: (*harness).moreObserved},
	"served-by": {fields: 3, observed: (*harness).servedByObserved},
	"idle":      {fields: 1, observed: (*harness).idleObserved},
	"through":   {fields: 2, observed: (*harness).throughObserved},
	"known":     {fields: 2, observed: (*harness).knownObserved},
	"call":      {fields: 3, observed: (*harness).callObserved},
	"one-of":    {fields: 3, observed: (*harness).oneOfObserved},
	"by-hand":   {fields: 1, observed: (*harness).byHandObserved},
}

// observed tells whether something is so now.
func (h *harness) observed(when string) (bool, error) {
	f := strings.Fields(when)
	if len(f) > 0 {
		c, ok := conditions[f[0]]
		if ok && (len(f) == c.fields || c.more && len(f) > c.fields) {
			return c.observed(h, f)
		}
	}
	if len(f) == 3 && f[1] == "is" {
		return h.stepObserved(f[0], strings.Split(f[2], "|")), nil
	}
	return false, fmt.Errorf("when: %q: not understood", when)
}

// Of processes and machines.

func (h *harness) readyObserved(f []string) (bool, error) {
	if f[1] == "all" {
		return !slices.ContainsFunc(h.procs, func(p *Proc) bool { return !p.Ready() }), nil
	}
	p, err := h.proc(f[1])
	return err == nil && p.Ready(), err
}

func (h *harness) runningObserved(f []string) (bool, error) {
	m, err := h.machine(f[1])
	return err == nil && m.Running(), err
}

func (h *harness) goneObserved(f []string) (bool, error) {
	p, err := h.proc(f[1])
	return err == nil && !p.Running(), err
}

func (h *harness) logObserved(f []string) (bool, error) {
	p, err := h.proc(f[1])
	return err == nil && strings.Contains(p.Log(), strings.Join(f[2:], " ")), err
}

// Of what status says.

// leaderObserved also names the leader and the others, until the next time.
func (h *harness) leaderObserved([]string) (bool, error) {
	name := h.leader()
	if name == "" {
		return false, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.named["leader"] = name
	n := 0
	for _, p := range h.procs {
		if p.Name != name {
			n++
			h.named[fmt.Sprint("other", n)] = p.Name
		}
	}
	return true, nil
}

func (h *harness) votersObserved(f []string) (bool, error) {
	raw, err := h.procs[0].Call("WORK STATUS")
	line, _, _ := strings.Cut(raw, "\n")
	_, voters, _ := strings.Cut(line, "voters")
	return err == nil && fmt.Sprint(len(strings.Fields(voters))) == f[2], nil
}

func (h *harness) levelObserved(f []string) (bool, error) {
	return strings.HasPrefix(h.statusLines("level"), "level "+f[2]+" "), nil
}

// whyObserved tells whether a machine, or any, waits, and status says why.
func (h *harness) whyObserved(f []string) (bool, error) {
	lines := h.statusLines(strings.TrimSuffix("machine "+f[1], " any"))
	return strings.Contains(lines, strings.Join(f[2:], " ")), nil
}

// Of requests.

func (h *harness) servedObserved(f []string) (bool, error) {
	n, err := strconv.Atoi(f[2])
	return err == nil && h.served(f[1]) >= n, err
}

// moreObserved counts the requests served since the step began.
func (h *harness) moreObserved(f []string) (bool, error) {
	n, err := strconv.Atoi(f[2])
	if err != nil {
		return false, err
	}
	return h.served(f[1])-h.servedBefore[f[1]] >= n, nil
}

func (h *harness) servedByObserved(f []string) (bool, error) {
	m, err := h.machine(f[1])
	if err != nil {
		return false, err
	}
	n, err := strconv.Atoi(f[2])
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Served >= n, err
}

// Of orders and calls.

func (h *harness) idleObserved([]string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state != nil && len(h.state.Orders) > 0 && !slices.ContainsFunc(h.state.Works,
		func(w *maintenance.Work) bool { return !w.Step.Ended() }), nil
}

func (h *harness) throughObserved(f []string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == nil || h.state.Order(f[1]) == nil {
		return false, nil
	}
	return !slices.ContainsFunc(h.state.Works, func(w *maintenance.Work) bool {
		return w.Order == f[1] && !w.Step.Ended()
	}), nil
}

// knownObserved tells whether every proxy has said that it knows that the machine may go out.
func (h *harness) knownObserved(f []string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == nil {
		return false, nil
	}
	w := h.state.Active(f[1])
	return w != nil && w.Announced > 0 && h.state.FirstUnaware(w) == "", nil
}

// stepObserved tells whether a machine is at one of some steps.
func (h *harness) stepObserved(machine string, steps []string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == nil {
		return false
	}
	return slices.ContainsFunc(h.state.Works, func(w *maintenance.Work) bool {
		return w.Machine.ID == machine && slices.Contains(steps, w.Step.String())
	})
}

func (h *harness) callObserved(f []string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	err, ok := h.calls[f[1]]
	return ok && (f[2] == "done") == (err == nil), nil
}

// oneOfObserved fails when both of two calls were carried out, or neither.
func (h *harness) oneOfObserved(f []string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, aDone := h.calls[f[1]]
	b, bDone := h.calls[f[2]]
	if aDone && bDone && (a == nil) == (b == nil) {
		return false, fmt.Errorf("%s gave %v, %s gave %v: want one of them done", f[1], a, f[2], b)
	}
	return aDone && bDone, nil
}

func (h *harness) byHandObserved([]string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, done := h.calls["by-hand"]
	return done, nil
}
