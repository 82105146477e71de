package soak

import (
	"sync"
	"time"
)

// timeline records when something was disturbed.
type timeline struct {
	mu    sync.Mutex
	spans []span
}

// span is a time of disturbance. Its end is the zero value while it lasts.
type span struct{ from, to time.Time }

// begin records the begin of a disturbance and returns a function that records its end.
func (t *timeline) begin() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := len(t.spans)
	t.spans = append(t.spans, span{from: time.Now()})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.spans[i].to = time.Now()
	}
}

// calm reports whether there was no disturbance between two times.
func (t *timeline) calm(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return false
		}
	}
	return true
}

// lastEnd returns the end of the last disturbance that had ended before a time, or the zero value.
func (t *timeline) lastEnd(before time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for _, s := range t.spans {
		if s.to.After(last) && s.to.Before(before) {
			last = s.to
		}
	}
	return last
}
