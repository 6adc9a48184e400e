package emulator

import "time"

// Clock holds what is due at which virtual time. Of what is due at the same instant, what was added
// first goes first: the order never depends on maps or goroutines.
type Clock struct {
	now  time.Duration
	last uint64
	heap []due
}

type due struct {
	at    time.Duration
	order uint64
	do    func()
}

func (d due) before(o due) bool { return d.at < o.at || d.at == o.at && d.order < o.order }

// Now is the present time. It never goes back.
func (c *Clock) Now() time.Duration { return c.now }

// At has do called at the given time, or as soon as it can be where that has passed.
func (c *Clock) At(at time.Duration, do func()) {
	c.last++
	c.heap = append(c.heap, due{max(at, c.now), c.last, do})
	i := len(c.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !c.heap[i].before(c.heap[up]) {
			break
		}
		c.heap[i], c.heap[up] = c.heap[up], c.heap[i]
		i = up
	}
}

// After has do called when the given time has passed.
func (c *Clock) After(wait time.Duration, do func()) { c.At(c.now+wait, do) }

// Next is when something is due next; false when nothing is.
func (c *Clock) Next() (time.Duration, bool) {
	if len(c.heap) == 0 {
		return 0, false
	}
	return c.heap[0].at, true
}

// Run does all that is due until the given time, in order, and then stands at that time.
func (c *Clock) Run(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		do := c.pop()
		do()
	}
	c.now = max(c.now, until)
}

func (c *Clock) pop() func() {
	top := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = due{}
	c.heap = c.heap[:last]
	i := 0
	for {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && c.heap[down].before(c.heap[least]) {
				least = down
			}
		}
		if least == i {
			break
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
	c.now = max(c.now, top.at)
	return top.do
}
