package trace

import (
	"time"

	"jaylink/decision"
)

// due is an event that a replay makes itself.
type due struct {
	at     time.Duration
	number int
	event  decision.Event
}

// pending orders such events by time, and those of one time by their number.
type pending []due

// Len implements heap.Interface.
func (p pending) Len() int { return len(p) }

// Less implements heap.Interface.
func (p pending) Less(i, j int) bool {
	if p[i].at != p[j].at {
		return p[i].at < p[j].at
	}
	return p[i].number < p[j].number
}

// Swap implements heap.Interface.
func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *pending) Push(x any) { *p = append(*p, x.(due)) }

// Pop implements heap.Interface.
func (p *pending) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

// hasTickBefore reports whether a tick at or before a time is pending already.
func (p pending) hasTickBefore(at time.Duration) bool {
	for _, d := range p {
		if _, tick := d.event.(decision.TickEvent); tick && d.at <= at {
			return true
		}
	}
	return false
}
