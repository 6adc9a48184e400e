package proxystate

import (
	"container/heap"
	"time"
)

// clock holds what is due at which absolute time. What is no longer wanted when it falls
// due does nothing.
type clock []due

type due struct {
	at time.Duration
	do func()
}

func (c clock) Len() int           { return len(c) }
func (c clock) Less(i, j int) bool { return c[i].at < c[j].at }
func (c clock) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *clock) Push(x any)        { *c = append(*c, x.(due)) }

func (c *clock) Pop() any {
	last := len(*c) - 1
	d := (*c)[last]
	(*c)[last] = due{}
	*c = (*c)[:last]
	return d
}

func (c *clock) add(at time.Duration, do func()) { heap.Push(c, due{at, do}) }

// next takes out what is due by now, nil if nothing is.
func (c *clock) next(now time.Duration) func() {
	if len(*c) == 0 || (*c)[0].at > now {
		return nil
	}
	return heap.Pop(c).(due).do
}
