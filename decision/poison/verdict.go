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
	// reportTime is how long a crash is reported to other entries, and soundReportTime
	// how long it is that a suspected part was answered. Entries that start later only
	// receive the verdict.
	reportTime      = 10 * time.Second
	soundReportTime = 2 * time.Second
	// maxReports, maxReportRequests, maxReportVerdicts and maxReportAnswers bound the size
	// of one update to other entries: crashes, the requests of each, verdicts, and
	// suspected parts that were answered.
	maxReports        = 16
	maxReportRequests = 16
	maxReportVerdicts = 32
	maxReportAnswers  = 192
	// maxReportParts limits the different parts in one report, and maxUpdateParts those in
	// all reports of an update. Of requests that would exceed them, MaxFewParts parts are
	// told.
	maxReportParts = 512
	maxUpdateParts = 2048
	MaxFewParts    = 8
)

// VerdictKind says what a verdict is about.
type VerdictKind uint8

const (
	// RequestVerdict is about a whole request.
	RequestVerdict VerdictKind = iota
	// PartVerdict is about a part of prompts.
	PartVerdict
)

// Verdict is what an entry tells the others about a request or a part: that it is
// poison or, if Cleared is set, that it was answered and is cleared.
type Verdict struct {
	Kind VerdictKind
	// Fingerprint is that of the request, or the part.
	Fingerprint uint64
	// At is the time of the last crash that counts against the request or part. If Cleared is
	// set, it is when the request was answered or, for a part, when the answered attempt was
	// sent.
	At      time.Time
	Cleared bool
	// With are parts that a request must have too to be refused.
	With []uint64
	// Crashes and Upstreams are what a verdict of this entry on a part is based on. They
	// are not sent to other entries.
	Crashes   int
	Upstreams []string
}

// Report is a crash with the requests involved in it, as sent to other entries.
type Report struct {
	Upstream string
	At       time.Time
	Requests []uint64
	// Parts are the suspected parts of each of the requests, in order.
	Parts [][]uint64
	// FewParts are at most MaxFewParts of the parts of each request, for entries of versions
	// that take no more. It is nil if no request has more.
	FewParts [][]uint64
}

// effectiveCrashes returns the number of crashes that count against a request.
// A request that was answered before is the likely cause only if crashes follow
// each time it is sent again, so its crashes are counted by roundWindow.
func (t *Tracker) effectiveCrashes(fingerprint uint64) int {
	if n := t.counts[fingerprint]; n < Limit || !t.answered.has(fingerprint) {
		return n
	}
	return countRounds(t.crashTimes(fingerprint), roundWindow)
}

// crashTimes returns the times of the crashes that count against a request.
func (t *Tracker) crashTimes(fingerprint uint64) []time.Time {
	var list []time.Time
	for _, c := range t.crashes {
		if !c.attributed && c.involves(fingerprint) {
			list = append(list, c.at)
		}
	}
	return list
}

// Answered records that a request was answered in full. It reports whether
// other entries need to know, because crashes or a verdict counted against the
// request.
func (t *Tracker) Answered(now time.Time, fingerprint uint64) bool {
	t.answered.add(fingerprint, now)
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
	if now.Sub(v.At) >= retention {
		return false
	}
	if v.Kind == PartVerdict {
		return t.applyPartVerdict(now, v)
	}
	if !v.At.After(t.cleared[v.Fingerprint]) {
		return false
	}
	if v.Cleared {
		t.answered.add(v.Fingerprint, v.At)
		t.clearUntil(v.At, v.Fingerprint)
		return true
	}
	_, known := t.poisoned[v.Fingerprint]
	if known || t.answered.has(v.Fingerprint) && !t.isLikelyCause(v.Fingerprint) {
		return false
	}
	t.markPoisoned(v.At, v.Fingerprint)
	return true
}

// applyPartVerdict is ApplyVerdict for parts.
func (t *Tracker) applyPartVerdict(now time.Time, v Verdict) bool {
	if v.Cleared {
		return t.soundPart(now, v.At, v.Fingerprint)
	}
	known, ok := t.parts.deadly[v.Fingerprint]
	if sent, answered := t.parts.sound.members[v.Fingerprint]; answered && !v.At.After(sent) {
		// The sender does not know of the answer.
		t.parts.soundNews[v.Fingerprint] = now
		return false
	}
	if ok && !v.At.After(known.at) {
		return false
	}
	t.markDeadly(v.Fingerprint, deadlyPart{at: v.At, with: v.With})
	return true
}

// AnyPoison reports whether any request is poison.
func (t *Tracker) AnyPoison() bool { return len(t.poisoned) > 0 }

// Updates returns the update for other entries: recent crashes without a known
// cause, newest first, and all verdicts, up to the size limits.
func (t *Tracker) Updates(now time.Time) ([]Report, []Verdict) {
	t.expire(now)
	return t.reports(now), t.verdicts(now)
}

// HasUpdates reports whether Updates would return anything, without building the
// lists.
func (t *Tracker) HasUpdates(now time.Time) bool {
	t.expire(now)
	return len(t.poisoned)+len(t.cleared)+t.DeadlyParts(now)+len(t.parts.soundNews) > 0 || slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.isReportable(now) })
}

// isReportable reports whether a crash is still sent to other entries.
func (c *crash) isReportable(now time.Time) bool {
	return now.Sub(c.at) < reportTime && c.isUnexplained()
}

// isUnexplained reports whether a crash without a known cause counts against any request or
// part.
func (c *crash) isUnexplained() bool {
	return !c.attributed && len(c.requests) > 0 || c.hasSuspectedParts()
}

// hasSuspectedParts reports whether a crash counts against any part.
func (c *crash) hasSuspectedParts() bool {
	return !c.hasCause && slices.ContainsFunc(c.runs, func(r run) bool { return len(r.parts) > 0 })
}

func (t *Tracker) reports(now time.Time) []Report {
	var crashes []*crash
	for _, c := range t.crashes {
		if c.isReportable(now) {
			crashes = append(crashes, c)
		}
	}
	slices.SortStableFunc(crashes, func(a, b *crash) int { return b.at.Compare(a.at) })
	return t.limitedReports(crashes, maxReports, maxUpdateParts)
}

// limitedReports returns the reports of the first crashes of a list, at most limit. parts limits
// the different parts in all of them.
func (t *Tracker) limitedReports(crashes []*crash, limit, parts int) []Report {
	var list []Report
	for _, c := range crashes[:min(len(crashes), limit)] {
		r := t.report(c)
		parts -= t.limitReport(&r, min(parts, maxReportParts))
		list = append(list, r)
	}
	return list
}

// limitReport limits the parts of a report to a number of different ones, as far as requests
// have more than MaxFewParts. It returns the number of different parts.
func (t *Tracker) limitReport(r *Report, limit int) int {
	if !slices.ContainsFunc(r.Parts, func(parts []uint64) bool { return len(parts) > MaxFewParts }) {
		return 0
	}
	told := map[uint64]bool{}
	for i, parts := range r.Parts {
		few := t.parts.likeliest(parts, MaxFewParts)
		r.FewParts = append(r.FewParts, few)
		added := 0
		for _, part := range parts {
			if !told[part] {
				added++
			}
		}
		if len(told)+added > limit {
			t.parts.dropped += int64(len(parts) - len(few))
			r.Parts[i], parts = few, few
		}
		for _, part := range parts {
			told[part] = true
		}
	}
	return len(told)
}

// report returns the report of one crash. Requests with suspected parts come first, and
// then those involved in the most crashes.
func (t *Tracker) report(c *crash) Report {
	parts := map[uint64][]uint64{}
	requests := slices.Clone(c.requests)
	for _, r := range c.runs {
		parts[r.request] = r.parts
		if !c.involves(r.request) && len(r.parts) > 0 {
			requests = append(requests, r.request)
		}
	}
	slices.SortStableFunc(requests, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(min(len(parts[b]), 1), min(len(parts[a]), 1)), cmp.Compare(t.counts[b], t.counts[a]))
	})
	r := Report{Upstream: c.upstream, At: c.at, Requests: requests[:min(len(requests), maxReportRequests)]}
	for _, request := range r.Requests {
		r.Parts = append(r.Parts, slices.Clone(parts[request]))
	}
	return r
}

// verdicts returns the newest verdicts: those on parts and requests that must be refused,
// then those on requests that have been cleared, and then the parts that were answered.
func (t *Tracker) verdicts(now time.Time) []Verdict {
	var answers []Verdict
	for part := range t.parts.soundNews {
		answers = append(answers, Verdict{Kind: PartVerdict, Fingerprint: part, At: t.parts.sound.members[part], Cleared: true})
	}
	list := append(newest(t.refused(now), maxReportVerdicts), newest(answersOf(RequestVerdict, t.cleared), maxReportVerdicts)...)
	return append(list[:min(len(list), maxReportVerdicts)], newest(answers, maxReportAnswers)...)
}

// refused returns the verdicts on parts and requests that must be refused.
func (t *Tracker) refused(now time.Time) []Verdict {
	var list []Verdict
	for part, d := range t.parts.deadly {
		if now.Sub(d.at) < retention {
			list = append(list, Verdict{Kind: PartVerdict, Fingerprint: part, At: d.at, With: d.with})
		}
	}
	for f, at := range t.poisoned {
		list = append(list, Verdict{Fingerprint: f, At: at})
	}
	return list
}

// answersOf returns the verdicts that clear requests or parts, as answered at the given times.
func answersOf(kind VerdictKind, times map[uint64]time.Time) []Verdict {
	var list []Verdict
	for f, at := range times {
		list = append(list, Verdict{Kind: kind, Fingerprint: f, At: at, Cleared: true})
	}
	return list
}

// newest returns at most limit verdicts: those on parts first, then the newest.
func newest(list []Verdict, limit int) []Verdict {
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Kind, a.Kind), b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), limit)]
}
