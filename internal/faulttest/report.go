package faulttest

import "time"

// Report is what came of a run.
type Report struct {
	Outcomes Outcomes
	Machines map[string]string // where each machine stood last
	Frees    int
	Took     []StepTook
	Peers    int64 // bytes that proxies sent each other
	Cost     Bounds
	Began    time.Duration // when the first step's time had come
	Ran      time.Duration // until the last step's time had come
}

// StepTook is how long a step waited.
type StepTook struct {
	When string
	Took time.Duration
}

// collect adds to a report what is known once clients and steps have ended. The caller holds h.mu.
func (h *harness) collect(report *Report) {
	for _, c := range h.clients {
		report.Outcomes.add(c.outcomes())
	}
	if h.state != nil {
		for _, w := range h.state.Works {
			report.Machines[w.Machine.ID] = w.Step.String()
		}
	}
	for _, relay := range h.relays {
		relay.mu.Lock()
		report.Peers += relay.Bytes
		relay.mu.Unlock()
	}
	report.Frees = h.judge.Frees
	report.Cost = h.cost()
}

// cost counts what the run has cost the list service and the machines.
func (h *harness) cost() Bounds {
	cost := Bounds{Lists: h.discovery.Calls, Peak: h.discovery.Peak()}
	for _, m := range h.machines {
		m.mu.Lock()
		cost.Opened += m.opened
		cost.Refused += m.refused
		cost.Held = max(cost.Held, m.held)
		m.mu.Unlock()
	}
	return cost
}
