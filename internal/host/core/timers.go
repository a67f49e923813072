package core

import (
	"container/heap"
	"slices"
	"time"
)

// timers are the timers that the decision module has set. It withdraws none: those that have no effect any more are dropped when they make up most
// of the others.
type timers struct {
	heap    timerHeap
	pruneAt int // the number of timers at which those without effect are dropped
}

// minPrunedTimers is the number of timers up to which none is dropped.
const minPrunedTimers = 1024

// set adds a timer. pending reports whether a timer still has an effect.
func (t *timers) set(at time.Duration, token uint64, pending func(token uint64) bool) {
	heap.Push(&t.heap, timer{at: at, token: token})
	if len(t.heap) < max(t.pruneAt, minPrunedTimers) {
		return
	}
	t.heap = slices.DeleteFunc(t.heap, func(other timer) bool { return other.token != token && !pending(other.token) })
	if cap(t.heap) > 4*len(t.heap) {
		t.heap = slices.Clone(t.heap)
	}
	heap.Init(&t.heap)
	t.pruneAt = 2 * len(t.heap)
}

// next removes the earliest timer if it has expired at now, and returns its token.
func (t *timers) next(now time.Duration) (token uint64, expired bool) {
	if at, set := t.earliest(); !set || at > now {
		return 0, false
	}
	return heap.Pop(&t.heap).(timer).token, true
}

// earliest returns the time of the earliest timer, if there is any.
func (t *timers) earliest() (at time.Duration, set bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

func (t *timers) count() int { return len(t.heap) }

// timer is one timer.
type timer struct {
	at    time.Duration
	token uint64
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
