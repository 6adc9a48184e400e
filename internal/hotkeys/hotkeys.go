// Package hotkeys finds the keys that on their own make up a large part of a machine's load, among the keys
// that a proxy sends. It counts frequent items with the Misra-Gries algorithm in bounded memory, over two
// alternating windows. It is pure and does not depend on what a machine is.
package hotkeys

import (
	"slices"
	"time"
)

const (
	counters = 256             // (key, machine) pairs counted at once; no pair above 1/256 of requests is missed
	window   = 2 * time.Second // length of a counting window
	least    = 32              // requests in a window below which no key counts as hot
	part     = 0.5             // fraction 0..1 of a machine's even share of the requests that makes a key hot
)

// Counter counts the requests per key and machine. Its zero value is ready to use.
type Counter[M comparable] struct {
	began    time.Duration
	now, was tally[M]
}

// tally holds the counts of one window. A key that is spread over several machines is counted separately at
// each of them.
type tally[M comparable] struct {
	total int
	sent  map[pair[M]]int
}

type pair[M comparable] struct {
	key uint64
	to  M
}

// Sent records that a request with this key was sent to a machine.
func (c *Counter[M]) Sent(now time.Duration, key uint64, to M) {
	c.turn(now)
	t := &c.now
	t.total++
	if t.sent == nil {
		t.sent = make(map[pair[M]]int, counters)
	}
	if p := (pair[M]{key, to}); t.sent[p] > 0 || len(t.sent) < counters {
		t.sent[p]++
		return
	}
	for p := range t.sent { // amortized: each decrement pays for one earlier increment
		if t.sent[p]--; t.sent[p] == 0 {
			delete(t.sent, p)
		}
	}
}

// turn starts a new window if the current one has ended.
func (c *Counter[M]) turn(now time.Duration) {
	if age := now - c.began; age >= window {
		if c.was = c.now; age >= 2*window {
			c.was = tally[M]{}
		}
		c.now, c.began = tally[M]{}, now
	}
}

// Hot lists the machines that received a hot key in the last complete window: a key whose requests alone made
// up a large part of one machine's even share, given the number of machines.
func (c *Counter[M]) Hot(now time.Duration, machines int) (hot []M) {
	c.turn(now)
	if c.was.total < least || machines < 2 {
		return nil
	}
	floor := max(part/float64(machines), 2.0/counters) * float64(c.was.total)
	for p, n := range c.was.sent {
		if float64(n) >= max(floor, 2) && !slices.Contains(hot, p.to) {
			hot = append(hot, p.to)
		}
	}
	return hot
}
