package decision

import (
	"container/heap"
	"time"
)

// queueRecheck is the longest time between two looks at waiting requests, for
// what becomes possible by time alone: the end of an upstream's pause, or of a
// patient request's wait for cheap capacity.
const queueRecheck = 250 * time.Millisecond

// wakes orders the requests by when they need attention next.
type wakes []*request

// Len implements heap.Interface.
func (w wakes) Len() int { return len(w) }

// Less implements heap.Interface; equals come in the order of acceptance, so
// that the same events always give the same actions.
func (w wakes) Less(i, j int) bool {
	if !w[i].due.Equal(w[j].due) {
		return w[i].due.Before(w[j].due)
	}
	return w[i].number < w[j].number
}

// Swap implements heap.Interface.
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].place, w[j].place = i, j
}

// Push implements heap.Interface.
func (w *wakes) Push(x any) {
	r := x.(*request)
	r.place = len(*w)
	*w = append(*w, r)
}

// Pop implements heap.Interface.
func (w *wakes) Pop() any {
	old := *w
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	r.place = noPlace
	return r
}

// noPlace marks a request that waits for no time.
const noPlace = -1

// set puts a request at its due time.
func (w *wakes) set(r *request, due time.Time) {
	r.due = due
	if r.place == noPlace {
		heap.Push(w, r)
		return
	}
	heap.Fix(w, r.place)
}

// drop takes a request out.
func (w *wakes) drop(r *request) {
	if r.place != noPlace {
		heap.Remove(w, r.place)
	}
}
