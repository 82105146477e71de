package trace

import (
	"time"

	"jaylink/decision"
)

// scheduledEvent is an event that a replay generates for a later time.
type scheduledEvent struct {
	at    time.Duration
	seq   int
	event decision.Event
}

// eventQueue is a heap of scheduled events, ordered by time and, for equal times, by
// sequence number.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// hasTickBy reports whether a tick at or before the given time is scheduled.
func (q eventQueue) hasTickBy(at time.Duration) bool {
	for _, d := range q {
		if _, tick := d.event.(decision.TickEvent); tick && d.at <= at {
			return true
		}
	}
	return false
}
