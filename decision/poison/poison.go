// Package poison finds requests that crash the upstreams that run them. It does
// no I/O, reads no clock and draws no randomness.
//
// A crash is noted with the fingerprints of the requests whose connections
// broke in it, as this entry and the others saw them. A request that took part
// in several crashes is poison, unless another one took part in the same ones:
// then either may be the cause, and the next crash tells. A request that is answered
// in full is sound: what was held against it is forgotten (verdict.go).
package poison

import (
	"slices"
	"time"
)

const (
	// Limit is the number of crashes after which a request is poison.
	Limit = 3
	// HardLimit is the number after which it is, whatever ran beside it.
	HardLimit = 5
	// memory is how long a crash, and that a request is poison, is remembered.
	memory = 15 * time.Minute
	// sameCrash is the time within which crashes of one upstream are one:
	// several entries, or several repeats, see the same one. An upstream that
	// crashed takes longer than that to run the next request.
	sameCrash = 500 * time.Millisecond
	// maxCrashes and maxShared bound what is remembered: the oldest crash is
	// dropped, and further requests of one crash are not noted.
	maxCrashes = 1024
	maxShared  = 256
)

// Crash is one upstream crash that a request took part in.
type Crash struct {
	Fingerprint uint64
	Upstream    string
	At          time.Time
}

// Tracker counts crashes by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	crashes  []*crash // the oldest report first
	counts   map[uint64]int
	poisoned map[uint64]time.Time
	// sound has the requests that were answered in full although a crash was held
	// against them, and when.
	sound    map[uint64]time.Time
	answered *answers
}

// crash is one crash with the requests that took part in it.
type crash struct {
	upstream string
	at       time.Time
	requests []uint64
	// explained says that a request that is poison took part in it. It is
	// held against no other, also if their reports come later.
	explained bool
}

func (c *crash) has(fingerprint uint64) bool { return slices.Contains(c.requests, fingerprint) }

// NewTracker returns a tracker that knows of no crash.
func NewTracker() *Tracker {
	return &Tracker{
		counts: map[uint64]int{}, poisoned: map[uint64]time.Time{}, sound: map[uint64]time.Time{}, answered: newAnswers(),
	}
}

// Add notes that a request took part in a crash and reports whether that was
// new.
func (t *Tracker) Add(now time.Time, report Crash) bool {
	t.expire(now)
	if now.Sub(report.At) >= memory || !report.At.After(t.sound[report.Fingerprint]) {
		return false
	}
	c := t.find(report)
	if t.Poisoned(now, report.Fingerprint) {
		t.explain(c)
		return false
	}
	if c.explained || c.has(report.Fingerprint) || len(c.requests) >= maxShared {
		return false
	}
	c.requests = append(c.requests, report.Fingerprint)
	t.counts[report.Fingerprint]++
	if t.judge(report.Fingerprint) {
		t.markPoisoned(now, report.Fingerprint)
	}
	return true
}

// find returns the crash that a report is about, which may be a new one.
func (t *Tracker) find(report Crash) *crash {
	for _, c := range t.crashes {
		if c.upstream == report.Upstream && c.at.Sub(report.At).Abs() < sameCrash {
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.forget(t.crashes[0])
		t.crashes = t.crashes[1:]
	}
	c := &crash{upstream: report.Upstream, at: report.At}
	t.crashes = append(t.crashes, c)
	return c
}

// judge reports whether a request is poison. The reports of one crash come in
// any order, so a request beside it may lack the last one still.
func (t *Tracker) judge(fingerprint uint64) bool {
	n := t.held(fingerprint)
	if n < Limit || n >= HardLimit {
		return n >= HardLimit
	}
	shared := map[uint64]int{}
	for _, c := range t.crashes {
		if c.explained || !c.has(fingerprint) {
			continue
		}
		for _, other := range c.requests {
			shared[other]++
			if other != fingerprint && shared[other] >= n-1 {
				return false
			}
		}
	}
	return true
}

// markPoisoned notes a request as poison. What it crashed is no longer held against
// the requests beside it.
func (t *Tracker) markPoisoned(now time.Time, fingerprint uint64) {
	t.poisoned[fingerprint] = now
	for _, c := range t.crashes {
		if c.has(fingerprint) {
			t.explain(c)
		}
	}
}

func (t *Tracker) explain(c *crash) {
	t.forget(c)
	c.explained = true
}

// forget takes a crash out of the counts.
func (t *Tracker) forget(c *crash) {
	if c.explained {
		return
	}
	for _, f := range c.requests {
		t.counts[f]--
		if t.counts[f] <= 0 {
			delete(t.counts, f)
		}
	}
}

func (t *Tracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		if now.Sub(c.at) < memory {
			return false
		}
		t.forget(c)
		return true
	})
	for _, verdicts := range []map[uint64]time.Time{t.poisoned, t.sound} {
		for f, at := range verdicts {
			if now.Sub(at) >= memory {
				delete(verdicts, f)
			}
		}
	}
}

// Crashes returns the number of crashes that a request may have caused.
func (t *Tracker) Crashes(fingerprint uint64) int { return t.counts[fingerprint] }

// Poisoned reports whether a request must not be given to any upstream.
func (t *Tracker) Poisoned(now time.Time, fingerprint uint64) bool {
	at, ok := t.poisoned[fingerprint]
	return ok && now.Sub(at) < memory
}
