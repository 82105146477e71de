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
	"maps"
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
	// expiryInterval is the time between two searches for what has expired.
	expiryInterval = 250 * time.Millisecond
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
	// Sent is when the request was sent to the upstream; zero if that is not known.
	Sent time.Time
	// Parts are the shared parts of the request's prompt, in order. It is empty if the
	// upstream had been writing the answer, which shows that the parts are not the cause.
	Parts []uint64
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
	answered  *recentTimes
	parts     partTracker
	expiredAt time.Time
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
	// runs are the involved requests that have shared parts. If hasCause is set, cause is
	// the part that the crash is attributed to.
	runs []run
	// partCount is the number of parts of all runs.
	partCount int
	// condensed are the runs without parts that can't be told from others, see condense.
	condensed []run
	cause     uint64
	hasCause  bool
}

func (c *crash) involves(fingerprint uint64) bool { return slices.Contains(c.requests, fingerprint) }

// NewTracker returns a tracker without any crashes.
func NewTracker() *Tracker {
	return &Tracker{
		counts: map[uint64]int{}, poisoned: map[uint64]time.Time{}, cleared: map[uint64]time.Time{}, answered: newRecentTimes(maxAnswered),
		parts: newPartTracker(),
	}
}

// Add records that a request was involved in a crash and reports whether that
// was new.
func (t *Tracker) Add(now time.Time, report Crash) bool {
	t.expire(now)
	if now.Sub(report.At) >= retention {
		return false
	}
	isCleared := !report.At.After(t.cleared[report.Fingerprint])
	if isCleared && len(report.Parts) == 0 {
		return false
	}
	c := t.findOrCreate(report)
	isNew := t.addRun(now, c, report)
	return !isCleared && t.addRequest(now, c, report) || isNew
}

// addRequest records a request as involved in a crash and reports whether that was new.
func (t *Tracker) addRequest(now time.Time, c *crash, report Crash) bool {
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
		t.markPoisoned(t.lastCrash(report.Fingerprint), report.Fingerprint)
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
		t.dropRuns(t.crashes[0])
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
	shared, sharedParts := tally{}, tally{}
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
		sharedParts.add(c.partsBeside(fingerprint))
	}
	return sharedParts.highest() < crashCount-1
}

// lastCrash returns when a request was last involved in a crash that counts against it.
func (t *Tracker) lastCrash(fingerprint uint64) time.Time {
	return slices.MaxFunc(t.crashTimes(fingerprint), time.Time.Compare)
}

// partsBeside returns the suspected parts that are not in a request, of those that were
// involved in a crash.
func (c *crash) partsBeside(fingerprint uint64) map[uint64]bool {
	parts := map[uint64]bool{}
	for _, r := range c.runs {
		for _, part := range r.parts {
			parts[part] = true
		}
	}
	for _, r := range c.runs {
		if r.request == fingerprint {
			for _, part := range r.parts {
				delete(parts, part)
			}
		}
	}
	return parts
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

// expire drops what is older than its retention. It does so at most once in
// expiryInterval, as it looks at everything.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt).Abs() < expiryInterval {
		return
	}
	t.expiredAt = now
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		if now.Sub(c.at) < retention {
			return false
		}
		t.removeFromCounts(c)
		t.dropRuns(c)
		return true
	})
	for _, expiring := range []map[uint64]time.Time{t.poisoned, t.cleared} {
		for f, at := range expiring {
			if now.Sub(at) >= retention {
				delete(expiring, f)
			}
		}
	}
	maps.DeleteFunc(t.parts.deadly, func(_ uint64, d deadlyPart) bool { return now.Sub(d.at) >= relapseTime })
	maps.DeleteFunc(t.parts.soundNews, func(_ uint64, at time.Time) bool { return now.Sub(at) >= soundReportTime })
}

// Crashes returns the number of crashes that a request may have caused.
func (t *Tracker) Crashes(fingerprint uint64) int { return t.counts[fingerprint] }

// Poisoned reports whether a request must not be sent to any upstream.
func (t *Tracker) Poisoned(now time.Time, fingerprint uint64) bool {
	at, ok := t.poisoned[fingerprint]
	return ok && now.Sub(at) < retention
}
