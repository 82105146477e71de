package decision

import (
	"container/heap"
	"time"
)

// queueRecheck is the maximum time between two attempts to dispatch the queued
// requests. Some become dispatchable without an event: when an upstream's pause
// ends, or when a request of class patient has waited long enough for cheap
// capacity.
const queueRecheck = 250 * time.Millisecond

// timerHeap is a heap of requests, ordered by the time at which their timers
// fire.
type timerHeap []*request

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface. Ties are broken by the order of acceptance,
// so that the same events always produce the same actions.
func (h timerHeap) Less(i, j int) bool {
	if !h[i].wakeAt.Equal(h[j].wakeAt) {
		return h[i].wakeAt.Before(h[j].wakeAt)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = notInHeap
	return r
}

// notInHeap is the heapIndex of a request without a timer.
const notInHeap = -1

// set sets or resets the timer of a request.
func (h *timerHeap) set(r *request, due time.Time) {
	r.wakeAt = due
	if r.heapIndex == notInHeap {
		heap.Push(h, r)
		return
	}
	heap.Fix(h, r.heapIndex)
}

// drop stops the timer of a request.
func (h *timerHeap) drop(r *request) {
	if r.heapIndex != notInHeap {
		heap.Remove(h, r.heapIndex)
	}
}
