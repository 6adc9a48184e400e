package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Outages say which outages of the list service a schedule has.
type Outages struct {
	Exact time.Duration // of all processes, once, for so long; 0: drawn
	Kills int           // processes killed or restarted within each, at most; with Exact: killed, just so many
}

// Bounds of what is drawn for outages.
const (
	outageLeast = 20 * time.Millisecond
	outageMost  = time.Minute
	outageFrom  = 2 * time.Second        // the first one, at the earliest
	drainWithin = 300 * time.Millisecond // of the return a server begins to drain,
	drainLasts  = 16 * time.Second       // and stays so
	outageGap   = 10 * time.Second       // from a return to the next outage, or the end, at least
	drainsMost  = 3                      // servers
	doorParts   = 3                      // one outage in so many is that of one process
	fleetLeast  = 3
	fleetMost   = 900
	runLeast    = 15 * time.Second
	runMost     = 90 * time.Second
)

// DrawFleetSize draws how many proxies a fleet has, small fleets as often as large ones.
func DrawFleetSize(seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 5))
	return int(logUniform(rng, fleetLeast, fleetMost+1))
}

// DrawLength draws how long the faults of a run last.
func DrawLength(seed uint64) time.Duration {
	return logUniform(rand.New(rand.NewPCG(seed, 6)), runLeast, runMost)
}

// DrawOutages draws outages of the list service for a run whose faults last so long, processes that are
// killed or restarted within them, and servers that begin to drain right after each return. Outages last up
// to what the run leaves for the drains after them.
func DrawOutages(seed uint64, proxies, servers int, faults time.Duration, o Outages) Schedule {
	rng := rand.New(rand.NewPCG(seed, 4))
	if o.Exact > 0 {
		return oneOutage(rng, proxies, servers, outageFrom, Event{Kind: DiscoveryDown, Lasts: o.Exact}, o)
	}
	var all Schedule
	for at := outageFrom; faults-at-outageGap > outageLeast; {
		at += between(rng, 0, time.Second)
		down := Event{Kind: DiscoveryDown, Process: rng.IntN(proxies),
			Lasts: logUniform(rng, outageLeast, max(outageLeast, min(outageMost, faults-at-outageGap)))}
		if rng.IntN(doorParts) == 0 {
			down.Kind = DoorDown
		}
		all = append(all, oneOutage(rng, proxies, servers, at, down, o)...)
		at += down.Lasts + outageGap
	}
	return all
}

// oneOutage is one outage with what happens in it and after it.
func oneOutage(rng *rand.Rand, proxies, servers int, at time.Duration, down Event, o Outages) Schedule {
	down.At = at
	all := Schedule{down}
	kills := o.Kills
	if o.Exact == 0 {
		kills = rng.IntN(o.Kills + 1)
	}
	for _, p := range rng.Perm(proxies)[:min(kills, proxies)] {
		e := Event{Kind: Kill, Process: p, At: at}
		if o.Exact == 0 {
			e.At += time.Duration(rng.Int64N(int64(down.Lasts)))
			if rng.IntN(2) == 0 {
				e.Kind = Restart
			}
		}
		all = append(all, e)
	}
	for _, s := range rng.Perm(servers)[:min(1+rng.IntN(drainsMost), servers/2)] {
		all = append(all, Event{Kind: Drain, Server: s, At: at + down.Lasts + between(rng, 0, drainWithin),
			Lasts: drainLasts})
	}
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Merge is two schedules as one.
func Merge(a, b Schedule) Schedule {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}
