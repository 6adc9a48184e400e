package faulttest

import (
	"fmt"
	"time"
)

// lateAnswer is more than twice as late as a proxy waits by the harness's settings.
const lateAnswer = 4 * time.Second

// listService is "discovery down": it has the list service fail, or be well again.
func (h *harness) listService(f []string) error {
	d := h.discovery
	switch how := f[1]; how {
	case "down", "up":
		d.Change(func() { d.Down = how == "down" })
	case "short", "whole": // lists come cut short
		d.Change(func() { d.short = how == "short" })
	case "late", "prompt": // answers come when their callers have given up
		d.mu.Lock()
		if d.late = 0; how == "late" {
			d.late = lateAnswer
		}
		d.mu.Unlock()
	case "half", "open": // each second call is turned away
		d.mu.Lock()
		d.half = how == "half"
		d.mu.Unlock()
	case "move":
		return h.moveListService()
	case "keep": // what it would go back to
		d.mu.Lock()
		d.old, d.kept = d.list(), d.gen
		d.mu.Unlock()
	case "back", "forth": // it has started anew from what it kept
		d.mu.Lock()
		d.back = how == "back"
		close(d.news)
		d.news = make(chan struct{})
		d.mu.Unlock()
	default:
		return fmt.Errorf("discovery %s: not understood", how)
	}
	return nil
}

// moveListService has it answer at another address; proxies learn of it at their next start or reload.
func (h *harness) moveListService() error {
	if err := h.discovery.Move(); err != nil {
		return err
	}
	for _, p := range h.procs {
		p.config["discovery"] = h.discovery.Addr()
		if err := p.write(); err != nil {
			return err
		}
	}
	return nil
}
