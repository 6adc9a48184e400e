package reducer

import (
	"container/heap"
	"time"
)

// timerQueue holds functions to run at absolute times; those with the same time run in the order in
// which they were added. Timers are never removed: one that is no longer needed does nothing when it
// fires.
type timerQueue struct {
	heap  timerHeap
	added uint64
}

type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return popped
}

func (q *timerQueue) add(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.heap, timer{at, q.added, run})
}

// next removes and returns the first function that is due, nil if there is none.
func (q *timerQueue) next(now time.Duration) func() {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(timer).run
}

// first returns the time of the earliest timer. The queue must not be empty.
func (q *timerQueue) first() time.Duration { return q.heap[0].at }
