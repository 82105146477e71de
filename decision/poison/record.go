package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of a record: verdicts, crashes, of these the ones with the same known cause, cleared
// requests, answers that speak for what was involved in the crashes, and recently answered parts.
// Beyond them the oldest are left out.
const (
	maxRecordVerdicts = 256
	maxRecordCrashes  = 64
	maxCauseCrashes   = 2 * HardLimit
	maxRecordCleared  = 256
	maxRecordAnswers  = 1024
	maxRecordFamiliar = 1024
	// maxRecordParts limits the different parts of all crashes of a record.
	maxRecordParts = 4096
	// maxExonerated is the number of parts that are remembered as cleared.
	maxExonerated = 1024
)

// Record is what has to outlive a process. The order of its lists depends on their content
// alone.
type Record struct {
	// Verdicts are those on requests and parts that must be refused.
	Verdicts []Verdict
	// Crashes are those that count, or may count again, against a request or a part.
	Crashes []Report
	// Answers are those that speak for a request or a part in the crashes, or have cleared it
	// of others.
	Answers []Verdict
	// Familiar are the parts that were answered most recently. Without them, all parts are as
	// new to a process that has just started as a deadly one.
	Familiar []Verdict
}

// Record returns what has to outlive this process.
func (t *Tracker) Record(now time.Time) Record {
	t.expire(now)
	r := Record{Verdicts: newest(t.refused(now), maxRecordVerdicts), Crashes: t.recordCrashes()}
	r.Answers = append(newest(answersOf(RequestVerdict, t.cleared), maxRecordCleared), t.recordAnswers(now, r.Crashes)...)
	if !r.IsEmpty() {
		r.Familiar = newest(answersOf(PartVerdict, t.parts.sound.members), maxRecordFamiliar)
	}
	return r
}

// IsEmpty reports whether a record has nothing that counts for or against anything.
func (r Record) IsEmpty() bool { return len(r.Verdicts)+len(r.Crashes)+len(r.Answers) == 0 }

// Expired reports whether all that a record says is older than it is remembered.
func (r Record) Expired(now time.Time) bool {
	return !slices.ContainsFunc(r.Crashes, func(c Report) bool { return now.Sub(c.At) < retention }) &&
		!slices.ContainsFunc(slices.Concat(r.Verdicts, r.Answers), func(v Verdict) bool { return now.Sub(v.At) < retention })
}

// Apply adds the content of records. A crash counts as its verdict says, as it did where the
// record is from: judged anew, the same crashes may speak against another part that was
// involved in them. A verdict on a part is withdrawn if the crashes of all records are explained
// by other parts, which were not known when it was passed.
func (t *Tracker) Apply(now time.Time, records ...Record) {
	for _, rec := range records {
		for _, v := range rec.Verdicts {
			t.ApplyVerdict(now, v)
		}
	}
	for _, rec := range records {
		for _, r := range rec.Crashes {
			for _, c := range r.Split() {
				t.Add(now, c)
			}
		}
		for _, v := range slices.Concat(rec.Answers, rec.Familiar) {
			t.ApplyVerdict(now, v)
		}
	}
	t.withdrawExplained()
}

// withdrawExplained ends verdicts on parts without which other parts still explain the crashes,
// those with the fewest crashes first. One of which the crashes are not known stands.
func (t *Tracker) withdrawExplained() {
	crashes := tally{}
	for part := range t.parts.deadly {
		crashes[part], _ = t.crashesInvolving(part)
	}
	parts := slices.SortedFunc(maps.Keys(t.parts.deadly), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(crashes[a], crashes[b]), cmp.Compare(a, b))
	})
	for _, part := range parts {
		if crashes[part] < Limit {
			continue
		}
		d := t.parts.deadly[part]
		t.withdraw(part)
		for _, other := range slices.Sorted(maps.Keys(t.parts.deadly)) {
			t.markDeadly(other, t.parts.deadly[other])
		}
		if _, unexplained := t.crashesInvolving(part); unexplained >= Limit {
			t.markDeadly(part, d)
		}
	}
}

// crashesInvolving returns the number of crashes in which a part was involved, and of those that
// have no known cause. Unlike crashesWith, it needs no condensed runs, which lack parts that can't be
// told from others.
func (t *Tracker) crashesInvolving(part uint64) (all, unexplained int) {
	for _, c := range t.crashes {
		if !anyHas(c.runs, part) {
			continue
		}
		all++
		if !c.hasCause {
			unexplained++
		}
	}
	return all, unexplained
}

// Split returns the crash of each request of a report.
func (r Report) Split() []Crash {
	list := make([]Crash, 0, len(r.Requests))
	for i, f := range r.Requests {
		c := Crash{Fingerprint: f, Upstream: r.Upstream, At: r.At}
		if i < len(r.Parts) {
			c.Parts = r.Parts[i]
		}
		list = append(list, c)
	}
	return list
}

// recordCrashes returns the crashes with a known cause first, as far as they are needed to find
// it again, and then the newest that count against any request or part.
func (t *Tracker) recordCrashes() []Report {
	crashes := slices.Clone(t.crashes)
	slices.SortStableFunc(crashes, func(a, b *crash) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.upstream, b.upstream))
	})
	byCause := map[uint64]int{}
	var explained, others []*crash
	for _, c := range crashes {
		cause, ok := t.causeOf(c)
		switch {
		case ok:
			if byCause[cause]++; byCause[cause] <= maxCauseCrashes {
				explained = append(explained, c)
			}
		case c.isUnexplained():
			others = append(others, c)
		}
	}
	return t.limitedReports(append(explained, others...), maxRecordCrashes, maxRecordParts)
}

// causeOf returns the part or request that a crash is attributed to.
func (t *Tracker) causeOf(c *crash) (uint64, bool) {
	if c.hasCause {
		return c.cause, true
	}
	if c.attributed {
		for _, f := range c.requests {
			if _, ok := t.poisoned[f]; ok {
				return f, true
			}
		}
	}
	return 0, false
}

// recordAnswers returns the answers that clear a part or a request, or show that it was
// answered before it was involved in a crash of one of the reports.
func (t *Tracker) recordAnswers(now time.Time, reports []Report) []Verdict {
	parts, requests := map[uint64]time.Time{}, map[uint64]time.Time{}
	for part, at := range t.parts.exonerated.members {
		if now.Sub(at) < retention {
			parts[part] = at
		}
	}
	for _, r := range reports {
		for _, request := range r.Requests {
			if at, ok := t.answered.members[request]; ok && t.counts[request] > 1 {
				requests[request] = at
			}
		}
		for _, list := range r.Parts {
			for _, part := range list {
				if sent, ok := t.parts.sound.members[part]; ok {
					parts[part] = maxTime(sent, parts[part])
				}
			}
		}
	}
	return newest(append(answersOf(PartVerdict, parts), answersOf(RequestVerdict, requests)...), maxRecordAnswers)
}
