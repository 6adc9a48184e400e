package faulttest

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Random draws a scenario from a seed. Its faults come after so many requests were served since the one
// before, all of them are over at its end, and then all orders must come through.
func Random(seed uint64) Scenario {
	d := &draw{rng: rand.New(rand.NewPCG(seed, 2)), killed: map[string]bool{}, started: map[string]bool{},
		paused: map[string]bool{}, dead: map[string]bool{}, hidden: map[string]bool{}}
	sc := Scenario{Name: fmt.Sprint("random-", seed), Proxies: 3 + d.rng.IntN(3), Machines: 4 + d.rng.IntN(3),
		Every: 25 * time.Millisecond, Work: time.Duration(100+d.rng.IntN(900)) * time.Millisecond}
	d.sc = &sc
	sc.Steps = append(sc.Steps, Step{When: []string{"ready all", "voters are 3", "served all 60"},
		Do: []string{d.submit()}})
	for range 4 + d.rng.IntN(5) {
		step := Step{When: []string{fmt.Sprint("more all ", 10+d.rng.IntN(200))}}
		for range 1 + d.rng.IntN(2) {
			step.Do = append(step.Do, d.fault()...)
		}
		sc.Steps = append(sc.Steps, step)
	}
	sc.Steps = append(sc.Steps, Step{When: []string{"more all 20"}, Do: d.over()},
		Step{When: []string{"ready all", "idle", "voters are 3"}})
	return sc
}

// draw is what the scenario that is being drawn has done so far.
type draw struct {
	rng                          *rand.Rand
	sc                           *Scenario
	killed, paused, dead, hidden map[string]bool
	started                      map[string]bool // again
	lost, cut                    bool
	orders                       int
}

// well draws a proxy that runs; "" if no more than one does.
func (d *draw) well() string {
	var names []string
	for i := range d.sc.Proxies {
		if n := fmt.Sprint("n", i); !d.killed[n] && !d.paused[n] {
			names = append(names, n)
		}
	}
	if len(names) < 2 {
		return ""
	}
	p := names[d.rng.IntN(len(names))]
	// Somebody has to serve all the time: who was started again does so only where there is a majority.
	if !slices.ContainsFunc(names, func(n string) bool { return n != p && !d.started[n] }) {
		return ""
	}
	return p
}

func (d *draw) submit() string {
	d.orders++
	var ids []string
	for i := range d.sc.Machines {
		if d.rng.IntN(2) == 0 {
			ids = append(ids, fmt.Sprint("m", i))
		}
	}
	if len(ids) == 0 {
		ids = []string{"m0"}
	}
	at := fmt.Sprint("n", d.rng.IntN(d.sc.Proxies))
	if d.rng.IntN(2) == 0 {
		if other := fmt.Sprint("n", d.rng.IntN(d.sc.Proxies)); other != at {
			at += "," + other
		}
	}
	return fmt.Sprintf("submit o%d at %s most %d keep 0.3 machines %s", d.orders, at, 1+d.rng.IntN(2),
		strings.Join(ids, ","))
}

func (d *draw) fault() []string {
	p := d.well()
	m := fmt.Sprint("m", d.rng.IntN(d.sc.Machines))
	ways := []string{"in", "out", "both"}
	switch n := d.rng.IntN(12); {
	case n == 0:
		return []string{d.submit()}
	case n == 1 && !d.dead[m]:
		d.dead[m] = true
		return []string{"die " + m}
	case n == 2:
		d.hidden[m] = !d.hidden[m]
		if d.hidden[m] {
			return []string{"hide " + m}
		}
		return []string{"list " + m}
	case n == 3 && len(d.killed) > 0:
		for _, name := range slices.Sorted(maps.Keys(d.killed)) {
			delete(d.killed, name)
			return []string{"start " + name}
		}
	case n == 4 && len(d.paused) > 0:
		for _, name := range slices.Sorted(maps.Keys(d.paused)) {
			delete(d.paused, name)
			return []string{"continue " + name}
		}
	case n == 5 && d.cut:
		d.cut = false
		return []string{"heal"}
	case p == "":
	case n == 6 && !d.lost && len(d.killed)+len(d.paused) == 0 && !d.cut:
		d.lost, d.started[p] = true, true // once: a second one might take the only other whole copy
		return []string{"kill " + p, []string{"lose ", "damage "}[d.rng.IntN(2)] + p, "start " + p}
	case n <= 7:
		d.killed[p], d.started[p] = true, true
		return []string{"kill " + p}
	case n == 8:
		d.paused[p] = true
		return []string{"pause " + p}
	case n == 9:
		d.cut = true
		return []string{"split " + p}
	default:
		d.cut = true
		return []string{[]string{"cut ", "reset ", "half ", "delay ", "drip "}[d.rng.IntN(5)] + p + " " +
			ways[d.rng.IntN(3)]}
	}
	return nil
}

// over ends all faults.
func (d *draw) over() []string {
	do := []string{"heal"}
	for _, p := range slices.Sorted(maps.Keys(d.paused)) {
		do = append(do, "continue "+p)
	}
	for _, p := range slices.Sorted(maps.Keys(d.killed)) {
		do = append(do, "start "+p)
	}
	for _, m := range slices.Sorted(maps.Keys(d.dead)) {
		do = append(do, "on "+m)
	}
	for _, m := range slices.Sorted(maps.Keys(d.hidden)) {
		do = append(do, "list "+m)
	}
	return do
}

// Shrink takes steps out of a scenario that fails, one after the other, for as long as it fails without them.
func Shrink(ctx context.Context, sc Scenario, fails func(Scenario) bool) Scenario {
	for i := len(sc.Steps) - 3; i >= 1 && ctx.Err() == nil; i-- {
		less := sc
		less.Steps = slices.Delete(slices.Clone(sc.Steps), i, i+1)
		if fails(less) {
			sc = less
		}
	}
	return sc
}
