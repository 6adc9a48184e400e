package reducer

import (
	"container/heap"
	"time"
)

// timerQueue holds functions to run at absolute times; those with the same time run in the order in
// which they were added. Whoever adds a timer removes it once it is no longer needed: until then the
// queue keeps everything that its function refers to.
type timerQueue struct {
	heap  timerHeap
	added uint64
}

// timer is an entry of a timerQueue.
type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
	index    int // in the heap; notQueued once it has run or was removed
}

// notQueued is the index of a timer that is in no queue.
const notQueued = -1

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	popped.index = notQueued
	return popped
}

// add has a function run at the given time.
func (q *timerQueue) add(at time.Duration, run func()) *timer {
	q.added++
	t := &timer{at: at, sequence: q.added, run: run}
	heap.Push(&q.heap, t)
	return t
}

// remove takes a timer out of the queue. A nil timer, and one that has run or was removed, is ignored.
func (q *timerQueue) remove(t *timer) {
	if t != nil && t.index != notQueued {
		heap.Remove(&q.heap, t.index)
	}
}

// next removes and returns the first function that is due, nil if there is none.
func (q *timerQueue) next(now time.Duration) func() {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer).run
}

// first returns the time of the earliest timer. The queue must not be empty.
func (q *timerQueue) first() time.Duration { return q.heap[0].at }
