package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// roundWindow groups the crashes of a request that was answered before:
	// crashes within it count once, because a request that many callers send
	// runs on many upstreams, and these may end together for another reason.
	roundWindow = time.Second
	// maxAnswered is the number of answered requests that are remembered: some
	// two minutes of an entry's traffic at 32 requests per second.
	maxAnswered = 4096
	// reportTime is how long a crash is reported to other entries. Entries that
	// start later only receive the verdict.
	reportTime = 10 * time.Second
	// maxReports, maxReportRequests and maxReportVerdicts bound the size of one
	// update to other entries.
	maxReports        = 16
	maxReportRequests = 16
	maxReportVerdicts = 32
)

// Verdict is what an entry tells the others about a request: that it is poison
// or, if Cleared is set, that it was answered in full and is cleared.
type Verdict struct {
	Fingerprint uint64
	At          time.Time
	Cleared     bool
}

// Report is a crash with the requests involved in it, as sent to other entries.
type Report struct {
	Upstream string
	At       time.Time
	Requests []uint64
}

// recentSet holds the most recently added fingerprints, at most maxAnswered.
type recentSet struct {
	members map[uint64]bool
	ring    []uint64
	oldest  int
}

func newRecentSet() *recentSet { return &recentSet{members: map[uint64]bool{}} }

func (s *recentSet) add(fingerprint uint64) {
	switch {
	case s.members[fingerprint]:
		return
	case len(s.ring) < maxAnswered:
		s.ring = append(s.ring, fingerprint)
	default:
		delete(s.members, s.ring[s.oldest])
		s.ring[s.oldest] = fingerprint
		s.oldest = (s.oldest + 1) % maxAnswered
	}
	s.members[fingerprint] = true
}

// effectiveCrashes returns the number of crashes that count against a request.
// A request that was answered before is the likely cause only if crashes follow
// each time it is sent again, so its crashes are counted by roundWindow.
func (t *Tracker) effectiveCrashes(fingerprint uint64) int {
	if n := t.counts[fingerprint]; n < Limit || !t.answered.members[fingerprint] {
		return n
	}
	rounds := 0
	var last time.Time
	for _, at := range t.crashTimes(fingerprint) {
		if rounds == 0 || at.Sub(last) >= roundWindow {
			rounds, last = rounds+1, at
		}
	}
	return rounds
}

// crashTimes returns the times of the crashes that count against a request, in
// ascending order.
func (t *Tracker) crashTimes(fingerprint uint64) []time.Time {
	var list []time.Time
	for _, c := range t.crashes {
		if !c.attributed && c.involves(fingerprint) {
			list = append(list, c.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// Answered records that a request was answered in full. It reports whether
// other entries need to know, because crashes or a verdict counted against the
// request.
func (t *Tracker) Answered(now time.Time, fingerprint uint64) bool {
	t.answered.add(fingerprint)
	_, poisoned := t.poisoned[fingerprint]
	if !poisoned && t.counts[fingerprint] == 0 {
		return false
	}
	t.clearUntil(now, fingerprint)
	return true
}

// clearUntil drops the crashes and the verdict against a request up to a time.
func (t *Tracker) clearUntil(at time.Time, fingerprint uint64) {
	t.cleared[fingerprint] = at
	if since, ok := t.poisoned[fingerprint]; ok && !since.After(at) {
		delete(t.poisoned, fingerprint)
	}
	for _, c := range t.crashes {
		i := slices.Index(c.requests, fingerprint)
		if c.attributed || i < 0 || c.at.After(at) {
			continue
		}
		c.requests = slices.Delete(c.requests, i, i+1)
		if t.counts[fingerprint]--; t.counts[fingerprint] <= 0 {
			delete(t.counts, fingerprint)
		}
	}
}

// ApplyVerdict applies a verdict received from another entry and reports whether it was
// new. Of two verdicts the newer one holds. A request that was answered here
// becomes poison only if the crashes known here say so too: this entry groups
// its crashes by roundWindow, and the other entry may count each of them.
func (t *Tracker) ApplyVerdict(now time.Time, v Verdict) bool {
	t.expire(now)
	if now.Sub(v.At) >= retention || !v.At.After(t.cleared[v.Fingerprint]) {
		return false
	}
	if v.Cleared {
		t.answered.add(v.Fingerprint)
		t.clearUntil(v.At, v.Fingerprint)
		return true
	}
	_, known := t.poisoned[v.Fingerprint]
	if known || t.answered.members[v.Fingerprint] && !t.isLikelyCause(v.Fingerprint) {
		return false
	}
	t.markPoisoned(v.At, v.Fingerprint)
	return true
}

// AnyPoison reports whether any request is poison.
func (t *Tracker) AnyPoison() bool { return len(t.poisoned) > 0 }

// Updates returns the update for other entries: recent crashes without a known
// cause, newest first, and all verdicts, up to the size limits.
func (t *Tracker) Updates(now time.Time) ([]Report, []Verdict) {
	t.expire(now)
	return t.reports(now), t.verdicts()
}

// HasUpdates reports whether Updates would return anything, without building the
// lists.
func (t *Tracker) HasUpdates(now time.Time) bool {
	t.expire(now)
	return len(t.poisoned)+len(t.cleared) > 0 || slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.isReportable(now) })
}

// isReportable reports whether a crash is still sent to other entries.
func (c *crash) isReportable(now time.Time) bool {
	return !c.attributed && len(c.requests) > 0 && now.Sub(c.at) < reportTime
}

func (t *Tracker) reports(now time.Time) []Report {
	var list []Report
	for _, c := range t.crashes {
		if !c.isReportable(now) {
			continue
		}
		requests := slices.Clone(c.requests)
		// Requests involved in the most crashes come first.
		slices.SortStableFunc(requests, func(a, b uint64) int { return cmp.Compare(t.counts[b], t.counts[a]) })
		list = append(list, Report{c.upstream, c.at, requests[:min(len(requests), maxReportRequests)]})
	}
	slices.SortStableFunc(list, func(a, b Report) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxReports)]
}

func (t *Tracker) verdicts() []Verdict {
	var list []Verdict
	for f, at := range t.poisoned {
		list = append(list, Verdict{Fingerprint: f, At: at})
	}
	for f, at := range t.cleared {
		list = append(list, Verdict{Fingerprint: f, At: at, Cleared: true})
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), maxReportVerdicts)]
}
