// Package hotkeys finds the keys that on their own make up a large part of a machine's load, among the keys
// that a proxy sends. It counts frequent items with the Misra-Gries algorithm in bounded memory, over two
// alternating windows. It is pure and does not depend on what a machine is.
package hotkeys

import (
	"slices"
	"time"
)

const (
	maxCounters = 256             // (key, machine) pairs counted at once; none above 1/256 of requests is missed
	window      = 2 * time.Second // length of a counting window
	minRequests = 32              // requests in a window below which no key counts as hot
	hotFraction = 0.5             // fraction 0..1 of a machine's even share of the requests that makes a key hot
)

// Counter counts the requests per key and machine. Its zero value is ready to use.
type Counter[M comparable] struct {
	windowStart       time.Duration
	current, previous tally[M]
}

// tally holds the counts of one window. A key that is spread over several machines is counted separately at
// each of them.
type tally[M comparable] struct {
	total  int
	counts map[keyMachine[M]]int
}

// keyMachine identifies a counter: a key, and a machine that received it.
type keyMachine[M comparable] struct {
	key     uint64
	machine M
}

// Record counts a request with this key that was sent to the machine.
func (c *Counter[M]) Record(now time.Duration, key uint64, machine M) {
	c.rotate(now)
	t := &c.current
	t.total++
	if t.counts == nil {
		t.counts = make(map[keyMachine[M]]int, maxCounters)
	}
	if p := (keyMachine[M]{key, machine}); t.counts[p] > 0 || len(t.counts) < maxCounters {
		t.counts[p]++
		return
	}
	for p := range t.counts { // amortized: each decrement pays for one earlier increment
		if t.counts[p]--; t.counts[p] == 0 {
			delete(t.counts, p)
		}
	}
}

// rotate starts a new window if the current one has ended.
func (c *Counter[M]) rotate(now time.Duration) {
	if age := now - c.windowStart; age >= window {
		if c.previous = c.current; age >= 2*window {
			c.previous = tally[M]{}
		}
		c.current, c.windowStart = tally[M]{}, now
	}
}

// Hot lists the machines that received a hot key in the last complete window: a key whose requests alone made
// up a large part of one machine's even share, given the number of machines.
func (c *Counter[M]) Hot(now time.Duration, machines int) (hot []M) {
	c.rotate(now)
	if c.previous.total < minRequests || machines < 2 {
		return nil
	}
	threshold := max(hotFraction/float64(machines), 2.0/maxCounters) * float64(c.previous.total)
	for p, n := range c.previous.counts {
		if float64(n) >= max(threshold, 2) && !slices.Contains(hot, p.machine) {
			hot = append(hot, p.machine)
		}
	}
	return hot
}
