package faulttest

import (
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"time"

	"lilacglade/internal/maintenance"
)

// startWatching watches all processes until the context ends; those that talk to no other are not watched.
func (h *harness) startWatching(ctx context.Context) *sync.WaitGroup {
	var watching sync.WaitGroup
	if h.scenario.Alone {
		return &watching
	}
	for _, p := range h.procs {
		watching.Go(func() { h.watch(ctx, p) })
	}
	return &watching
}

// watch asks one process again and again how things stand, has the judge look at what it says, and has staff
// act on it.
func (h *harness) watch(ctx context.Context, p *Proc) {
	for n := 0; ctx.Err() == nil; n++ {
		raw, err := p.Call(fmt.Sprintf(`WORK {"id":"look-%s-%d","do":"state"}`, p.Name, n))
		if err == nil {
			err = h.observe(p, strings.TrimSpace(raw))
		}
		h.mu.Lock()
		if h.status[p.Name] = "told"; err != nil {
			h.status[p.Name] = err.Error()
		}
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(pollEvery):
		}
	}
}

// observe takes in the state that a process has told.
func (h *harness) observe(p *Proc, encoded string) error {
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return err
	}
	s, err := maintenance.Restore(raw)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.judge.ObserveState(p.Name, s)
	if h.state == nil || s.Index > h.state.Index {
		h.state = s
	}
	for _, w := range s.Works {
		if w.Step != maintenance.Free {
			continue
		}
		if err := h.beginMaintenance(w, p); err != nil {
			return err
		}
	}
	return nil
}
