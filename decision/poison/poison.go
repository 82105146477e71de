// Package poison identifies requests that crash the upstreams that run them. It
// does no I/O, reads no clock and draws no randomness.
//
// Each crash is recorded with the fingerprints of the requests whose
// connections broke during it, as reported by this entry (one proxy process of
// the fleet) and by the others. A request involved in several crashes is
// poison, unless another request was involved in the same crashes: then either
// may be the cause, and the next crash decides. A request that is answered in
// full is cleared: the crashes counted against it are dropped (verdict.go).
package poison

import (
	"slices"
	"time"
)

const (
	// Limit is the number of crashes after which a request is poison, unless
	// another request was involved in the same crashes.
	Limit = 3
	// HardLimit is the number of crashes after which a request is poison
	// regardless of the requests that ran alongside it.
	HardLimit = 5
	// retention is how long crashes and verdicts are remembered.
	retention = 15 * time.Minute
	// crashMergeWindow is the time within which crash reports for one upstream
	// describe the same crash: several entries, or several retries, see the
	// same one. An upstream that crashed takes longer than that to run its next
	// request.
	crashMergeWindow = 500 * time.Millisecond
	// maxCrashes and maxCrashRequests bound memory use: beyond maxCrashes the
	// oldest crash is dropped, and beyond maxCrashRequests no more requests are
	// added to a crash.
	maxCrashes       = 1024
	maxCrashRequests = 256
)

// Crash reports that a request was involved in the crash of an upstream.
type Crash struct {
	Fingerprint uint64
	Upstream    string
	At          time.Time
}

// Tracker counts crashes per request fingerprint. It is not safe for concurrent
// use.
type Tracker struct {
	crashes  []*crash // in the order of their first reports
	counts   map[uint64]int
	poisoned map[uint64]time.Time
	// cleared maps the requests that were answered in full despite earlier
	// crashes to the time of the answer.
	cleared map[uint64]time.Time
	// answered holds the requests that were recently answered in full.
	answered *recentSet
}

// crash is one crash of an upstream and the requests involved in it.
type crash struct {
	upstream string
	at       time.Time
	requests []uint64
	// attributed is set once a request involved in the crash is known to be
	// poison. The crash then counts against no other request, even one reported
	// later.
	attributed bool
}

func (c *crash) involves(fingerprint uint64) bool { return slices.Contains(c.requests, fingerprint) }

// NewTracker returns a tracker without any crashes.
func NewTracker() *Tracker {
	return &Tracker{
		counts: map[uint64]int{}, poisoned: map[uint64]time.Time{}, cleared: map[uint64]time.Time{}, answered: newRecentSet(),
	}
}

// Add records that a request was involved in a crash and reports whether that
// was new.
func (t *Tracker) Add(now time.Time, report Crash) bool {
	t.expire(now)
	if now.Sub(report.At) >= retention || !report.At.After(t.cleared[report.Fingerprint]) {
		return false
	}
	c := t.findOrCreate(report)
	if t.Poisoned(now, report.Fingerprint) {
		t.attribute(c)
		return false
	}
	if c.attributed || c.involves(report.Fingerprint) || len(c.requests) >= maxCrashRequests {
		return false
	}
	c.requests = append(c.requests, report.Fingerprint)
	t.counts[report.Fingerprint]++
	if t.isLikelyCause(report.Fingerprint) {
		t.markPoisoned(now, report.Fingerprint)
	}
	return true
}

// findOrCreate returns the crash that a report belongs to.
func (t *Tracker) findOrCreate(report Crash) *crash {
	for _, c := range t.crashes {
		if c.upstream == report.Upstream && c.at.Sub(report.At).Abs() < crashMergeWindow {
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.removeFromCounts(t.crashes[0])
		t.crashes = t.crashes[1:]
	}
	c := &crash{upstream: report.Upstream, at: report.At}
	t.crashes = append(t.crashes, c)
	return c
}

// isLikelyCause reports whether the recorded crashes identify a request as
// poison. Reports of one crash arrive in any order, so one report of another
// request may still be missing: sharing all but one of the crashes is enough to
// leave the cause open.
func (t *Tracker) isLikelyCause(fingerprint uint64) bool {
	crashCount := t.effectiveCrashes(fingerprint)
	if crashCount < Limit || crashCount >= HardLimit {
		return crashCount >= HardLimit
	}
	shared := map[uint64]int{}
	for _, c := range t.crashes {
		if c.attributed || !c.involves(fingerprint) {
			continue
		}
		for _, other := range c.requests {
			shared[other]++
			if other != fingerprint && shared[other] >= crashCount-1 {
				return false
			}
		}
	}
	return true
}

// markPoisoned records a request as poison. The crashes it was involved in no
// longer count against other requests.
func (t *Tracker) markPoisoned(now time.Time, fingerprint uint64) {
	t.poisoned[fingerprint] = now
	for _, c := range t.crashes {
		if c.involves(fingerprint) {
			t.attribute(c)
		}
	}
}

func (t *Tracker) attribute(c *crash) {
	t.removeFromCounts(c)
	c.attributed = true
}

// removeFromCounts subtracts a crash from the per-request counts.
func (t *Tracker) removeFromCounts(c *crash) {
	if c.attributed {
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
		if now.Sub(c.at) < retention {
			return false
		}
		t.removeFromCounts(c)
		return true
	})
	for _, expiring := range []map[uint64]time.Time{t.poisoned, t.cleared} {
		for f, at := range expiring {
			if now.Sub(at) >= retention {
				delete(expiring, f)
			}
		}
	}
}

// Crashes returns the number of crashes that a request may have caused.
func (t *Tracker) Crashes(fingerprint uint64) int { return t.counts[fingerprint] }

// Poisoned reports whether a request must not be sent to any upstream.
func (t *Tracker) Poisoned(now time.Time, fingerprint uint64) bool {
	at, ok := t.poisoned[fingerprint]
	return ok && now.Sub(at) < retention
}
