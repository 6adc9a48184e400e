package faulttest

import (
	"slices"
	"strings"
	"time"
)

// impairments are how relays treat what goes their way, by the action's word.
var impairments = map[string]Treat{
	"cut":   {Cut: true},
	"reset": {Reset: true},
	"half":  {Half: true},
	"delay": {Delay: 150 * time.Millisecond},
	"drip":  {Drip: 600},
}

// impair has the relays of a proxy impair what it says (out), hears (in), or both: "cut n0 in".
func (h *harness) impair(p *Proc, f []string) error {
	way := "both"
	if len(f) > 2 {
		way = f[2]
	}
	for key, relay := range h.relays {
		if key[0] == p.Name && way != "in" || key[1] == p.Name && way != "out" {
			relay.Set(impairments[f[0]])
		}
	}
	return nil
}

// split cuts some proxies off from all others, both ways: "split n0,n1".
func (h *harness) split(f []string) error {
	names := strings.Split(f[1], ",")
	for key, relay := range h.relays {
		if slices.Contains(names, key[0]) != slices.Contains(names, key[1]) {
			relay.Set(Treat{Cut: true})
		}
	}
	return nil
}

// heal has all relays pass everything again.
func (h *harness) heal() {
	for _, relay := range h.relays {
		relay.Set(Treat{})
	}
}
