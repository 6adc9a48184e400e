package faulttest

import (
	"fmt"
	"iter"
	"strings"
)

// proc is the proxy of that name, which may be one that a step has named, such as "leader".
func (h *harness) proc(name string) (*Proc, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if was, ok := h.named[name]; ok {
		name = was
	}
	for _, p := range h.procs {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("%q: no such proxy", name)
}

// procNames are the proxies of a list of names, or of all; nil: it names one.
func (h *harness) procNames(names string) []string {
	if names == "all" {
		var all []string
		for _, p := range h.procs {
			all = append(all, p.Name)
		}
		return all
	}
	if list := strings.Split(names, ","); len(list) > 1 {
		return list
	}
	return nil
}

// machine is the machine of that id.
func (h *harness) machine(id string) (*Machine, error) {
	for _, m := range h.machines {
		if m.ID == id {
			return m, nil
		}
	}
	return nil, fmt.Errorf("%q: no such machine", id)
}

// served counts the requests that were served by a proxy, or by all.
func (h *harness) served(name string) (total int) {
	h.mu.Lock()
	if was, ok := h.named[name]; ok {
		name = was
	}
	h.mu.Unlock()
	for _, c := range h.clients {
		if name == "all" || c.proc.Name == name {
			total += c.outcomes().Served
		}
	}
	return total
}

// statuses yields the status as each proxy tells it, in their order, without those that can't.
func (h *harness) statuses() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, p := range h.procs {
			if !p.Running() || p.paused() {
				continue
			}
			raw, err := p.Call("WORK STATUS")
			if err == nil && !yield(raw) {
				return
			}
		}
	}
}

// leader is the proxy that leads, as one of those says that can ask a majority.
func (h *harness) leader() string {
	for raw := range h.statuses() {
		if f := strings.Fields(raw); len(f) > 3 {
			return f[3]
		}
	}
	return ""
}

// statusLines are the lines of status that begin with some words, from whoever can say.
func (h *harness) statusLines(words string) string {
	var b strings.Builder
	for raw := range h.statuses() {
		for line := range strings.Lines(raw) {
			if strings.HasPrefix(line, words+" ") {
				b.WriteString(line)
			}
		}
		break
	}
	return b.String()
}
