// Package poison finds requests that crash the upstreams that run them. It does
// no I/O, reads no clock and draws no randomness.
//
// A crash is counted for the fingerprint of each request whose connection broke
// in it. Crashes that other entries saw are counted alike, so that a repeat is
// refused on any of them.
package poison

import "time"

const (
	// Limit is the number of crashes after which a request is poison.
	Limit = 3
	// memory is how long the last crash of a request is remembered.
	memory = 15 * time.Minute
	// sameCrash is the time within which crashes of one upstream are one:
	// several entries, or several repeats, see the same one.
	sameCrash = time.Second
	// maxTracked bounds the number of fingerprints; the one whose last
	// crash is oldest is dropped.
	maxTracked = 4096
)

// Crash is one upstream crash that a request took part in.
type Crash struct {
	Fingerprint uint64
	Upstream    string
	At          time.Time
}

// Tracker counts crashes by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	requests map[uint64]*record
}

// record has the last crashes of one request, at most Limit of them.
type record struct {
	crashes []Crash
	last    time.Time
}

// NewTracker returns a tracker that knows of no crash.
func NewTracker() *Tracker { return &Tracker{requests: map[uint64]*record{}} }

// Add counts a crash and reports whether it was new.
func (t *Tracker) Add(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= memory {
		return false
	}
	r := t.get(now, c.Fingerprint)
	if r == nil {
		t.makeRoom(now)
		r = &record{}
		t.requests[c.Fingerprint] = r
	}
	if len(r.crashes) >= Limit || r.has(c) {
		return false
	}
	r.crashes = append(r.crashes, c)
	if c.At.After(r.last) {
		r.last = c.At
	}
	return true
}

func (r *record) has(c Crash) bool {
	for _, old := range r.crashes {
		if old.Upstream == c.Upstream && old.At.Sub(c.At).Abs() < sameCrash {
			return true
		}
	}
	return false
}

// get returns the record of a fingerprint; nil if it is none or too old.
func (t *Tracker) get(now time.Time, fingerprint uint64) *record {
	r := t.requests[fingerprint]
	if r == nil || now.Sub(r.last) < memory {
		return r
	}
	delete(t.requests, fingerprint)
	return nil
}

// makeRoom drops what has expired and, if that is not enough, the oldest.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.requests) < maxTracked {
		return
	}
	var oldest uint64
	var at time.Time
	for f, r := range t.requests {
		if now.Sub(r.last) >= memory {
			delete(t.requests, f)
			continue
		}
		if at.IsZero() || r.last.Before(at) || r.last.Equal(at) && f < oldest {
			oldest, at = f, r.last
		}
	}
	if len(t.requests) >= maxTracked {
		delete(t.requests, oldest)
	}
}

// Crashes returns the number of crashes counted for a fingerprint.
func (t *Tracker) Crashes(now time.Time, fingerprint uint64) int {
	if r := t.get(now, fingerprint); r != nil {
		return len(r.crashes)
	}
	return 0
}

// Poisoned reports whether a request must not be given to any upstream.
func (t *Tracker) Poisoned(now time.Time, fingerprint uint64) bool {
	return t.Crashes(now, fingerprint) >= Limit
}

// Recent returns the crashes that are remembered, in no order.
func (t *Tracker) Recent(now time.Time) []Crash {
	var out []Crash
	for _, r := range t.requests {
		if now.Sub(r.last) < memory {
			out = append(out, r.crashes...)
		}
	}
	return out
}
