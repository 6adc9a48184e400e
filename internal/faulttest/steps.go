package faulttest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// runSteps goes through the scenario.
func (h *harness) runSteps(ctx context.Context, report *Report) error {
	for i, step := range h.scenario.Steps {
		if err := h.awaitStep(ctx, i, step, report); err != nil {
			return fmt.Errorf("steps[%d]: %w", i, err)
		}
		for _, action := range step.Do {
			h.logf("do: %s", action)
			if err := h.do(action); err != nil {
				return fmt.Errorf("steps[%d]: %s: %w", i, action, err)
			}
		}
	}
	return h.failure()
}

// awaitStep waits until all conditions of a step were observed, in their order, and reports how long each
// took.
func (h *harness) awaitStep(ctx context.Context, number int, step Step, report *Report) error {
	began := time.Now()
	h.countServed(step)
	for _, when := range step.When {
		if err := h.await(ctx, when, began); err != nil {
			return err
		}
		report.Took = append(report.Took, StepTook{when, time.Since(began)})
		if report.Ran = time.Since(h.began); number == 0 {
			report.Began = report.Ran
		}
		h.logf("seen: %s", when)
	}
	return nil
}

// countServed notes what was served before a step whose conditions ask for more.
func (h *harness) countServed(step Step) {
	h.servedBefore = map[string]int{}
	for _, when := range step.When {
		if f := strings.Fields(when); len(f) == 3 && f[0] == "more" {
			h.servedBefore[f[1]] = h.served(f[1])
		}
	}
}

// await waits until one condition is observed. Its step began at the given time.
func (h *harness) await(ctx context.Context, when string, began time.Time) error {
	for {
		ok, err := h.observed(when)
		if err = errors.Join(err, h.failure()); err != nil {
			return err
		}
		if ok {
			return nil
		}
		if time.Since(began) > h.scenario.Patient || ctx.Err() != nil {
			return fmt.Errorf("never: %s\n%s", when, h.describe())
		}
		time.Sleep(pollEvery / 5)
	}
}

// describe words how things stand, for a fault.
func (h *harness) describe() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	for _, p := range h.procs {
		fmt.Fprintf(&b, "%s: %s\n", p.Name, h.status[p.Name])
		lines := strings.Split(strings.TrimSpace(p.Log()), "\n")
		fmt.Fprintf(&b, "  %s\n", strings.Join(lines[max(0, len(lines)-6):], "\n  "))
	}
	if h.state != nil {
		for _, w := range h.state.Works {
			fmt.Fprintf(&b, "%s is %v (%s)\n", w.Machine.ID, w.Step, w.Why)
		}
	}
	return b.String()
}
