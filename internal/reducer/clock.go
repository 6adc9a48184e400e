package reducer

import (
	"container/heap"
	"time"
)

// clock holds what is due at which absolute time; of what is due at once, what was added first
// goes first. What is no longer wanted when it falls due does nothing.
type clock struct {
	dues  dues
	added uint64
}

type due struct {
	at    time.Duration
	order uint64
	do    func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }

func (d *dues) Pop() any {
	last := len(*d) - 1
	out := (*d)[last]
	(*d)[last] = due{}
	*d = (*d)[:last]
	return out
}

func (c *clock) add(at time.Duration, do func()) {
	c.added++
	heap.Push(&c.dues, due{at, c.added, do})
}

// next takes out what is due by now, nil if nothing is.
func (c *clock) next(now time.Duration) func() {
	if len(c.dues) == 0 || c.dues[0].at > now {
		return nil
	}
	return heap.Pop(&c.dues).(due).do
}

// first is when something is due next.
func (c *clock) first() time.Duration { return c.dues[0].at }
