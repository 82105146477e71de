package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A part of a prompt can crash every upstream that begins to write an answer to a request
// with it. Such requests differ in everything else, so that counting crashes by request
// does not find them. The tracker therefore also counts crashes by the shared parts of the
// prompts that were involved in them.
//
// Sound requests have most of these parts too. They are told apart by three things: an
// attempt that was sent after a crash and is being answered clears its parts of that
// crash; a part is refused only if it explains crashes that no narrower suspect explains,
// which is a single request or a part that fewer requests have; and of parts that came
// together in all crashes, all must be in a request for it to be refused.
const (
	// minOwnCrashes is the number of a part's crashes in which no single narrower suspect
	// was involved. With fewer, that suspect may be the cause.
	minOwnCrashes = 2
	// partRoundWindow groups the crashes of a part. Upstreams that crash together for
	// another reason are one group; a part must be involved in minPartRounds of them.
	partRoundWindow = 300 * time.Millisecond
	minPartRounds   = 2
	// settleTime is the age from which a crash counts against a part. Until then, entries
	// tell each other which requests were involved, and which of their parts were
	// answered before. For a broad part, which sound requests have too, it is
	// lateSettleTime, so that one of these may be answered first.
	settleTime     = 150 * time.Millisecond
	lateSettleTime = time.Second
	// judgeInterval is the least time between two judgements of all parts.
	judgeInterval = 50 * time.Millisecond
	// maxRunParts limits the shared parts that are recorded for a request. Once the requests
	// of a crash have maxCrashParts in all, the limit is minRunParts.
	maxRunParts   = 256
	maxCrashParts = 4096
	minRunParts   = 64
	// maxCrashRuns limits the requests with parts that are recorded for a crash.
	// maxPartCrashes limits the crashes that count against parts, and maxRecordedParts the
	// parts of all their requests; the oldest crashes are dropped first.
	maxCrashRuns     = 64
	maxPartCrashes   = 128
	maxRecordedParts = 128 << 10
	// maxCompanions limits the parts without which a request with a deadly part is not
	// refused.
	maxCompanions = 8
	// relapseTime is how long after its last crash a part is remembered. From retention on
	// its requests are sent, and the next crash renews the verdict.
	relapseTime = 8 * retention
	// maxSoundParts is the number of answered parts that are remembered.
	maxSoundParts = 8192
)

// run is a request that was on an upstream when it crashed, with the shared parts of its
// prompt in their order. Parts that are cleared of the crash are removed.
type run struct {
	request uint64
	parts   []uint64
	// mark tells the run from all others in suspect.runs.
	mark uint64
}

// deadlyPart is a part that crashes upstreams.
type deadlyPart struct {
	// at is the time of the last crash that was counted against the part.
	at time.Time
	// with are parts that a request must have too to be refused: those that were in the
	// same requests in all crashes, so that either may be the cause.
	with []uint64
	// crashes and upstreams are what the judgement is based on. They are known to the
	// entry that has judged.
	crashes   int
	upstreams []string
}

// partTracker is the part of Tracker that deals with shared parts of prompts.
type partTracker struct {
	deadly map[uint64]deadlyPart
	// suspects holds the parts of the runs in recorded crashes.
	suspects map[uint64]suspect
	// lastMark is the mark of the latest run. changed is set if the condensed runs of the
	// crashes are outdated.
	lastMark uint64
	changed  bool
	// sound holds, for the most recently answered parts, when the latest attempt that was
	// answered had been sent.
	sound *recentTimes
	// soundNews holds the parts whose answers other entries have to know of, with the
	// time at which that became known.
	soundNews map[uint64]time.Time
	// exonerated holds the parts that were cleared of a crash or a verdict most recently, with
	// the time of the answered attempt.
	exonerated *recentTimes
	judgedAt   time.Time
	// dropped counts the runs and parts that were not recorded because of the limits.
	dropped int64
}

func newPartTracker() partTracker {
	return partTracker{deadly: map[uint64]deadlyPart{}, suspects: map[uint64]suspect{}, sound: newRecentTimes(maxSoundParts), soundNews: map[uint64]time.Time{}, exonerated: newRecentTimes(maxExonerated)}
}

// addRun records the parts of a request that was involved in a crash and reports whether
// any of them is a new suspect.
func (t *Tracker) addRun(now time.Time, c *crash, report Crash) bool {
	p := &t.parts
	if len(report.Parts) == 0 || slices.ContainsFunc(c.runs, func(r run) bool { return r.request == report.Fingerprint }) {
		return false
	}
	if len(c.runs) >= maxCrashRuns {
		p.dropped++
		return false
	}
	var parts []uint64
	for _, part := range report.Parts {
		sent, known := p.sound.members[part]
		if known {
			p.soundNews[part] = now
		}
		if !known || report.At.After(sent) {
			parts = append(parts, part)
		}
	}
	parts = p.limitRun(c, parts)
	p.lastMark++
	r := run{request: report.Fingerprint, parts: parts, mark: mix(p.lastMark)}
	c.runs = append(c.runs, r)
	c.partCount += len(parts)
	for _, part := range parts {
		p.addSuspect(part, r.mark)
	}
	t.limitPartCrashes()
	for _, part := range parts {
		if d, ok := p.deadly[part]; ok && d.covers(parts) {
			t.renew(part, d, report.At)
			t.attributeToPart(c, part)
		}
	}
	return len(parts) > 0
}

// limitRun returns the parts of a request that are recorded for a crash.
func (p *partTracker) limitRun(c *crash, parts []uint64) []uint64 {
	limit := maxRunParts
	if c.partCount >= maxCrashParts {
		limit = minRunParts
	}
	p.dropped += int64(max(len(parts)-limit, 0))
	return p.likeliest(parts, limit)
}

// renew puts a verdict that has ended into force again if the part was involved in another
// crash: one suffices for a part that was never answered since.
func (t *Tracker) renew(part uint64, d deadlyPart, crashAt time.Time) {
	if crashAt.Sub(d.at) >= retention {
		d.at = crashAt
		t.parts.deadly[part] = d
	}
}

// limitPartCrashes drops the parts of the oldest crashes if there are too many.
func (t *Tracker) limitPartCrashes() {
	n, parts := 0, 0
	for i := len(t.crashes) - 1; i >= 0; i-- {
		if len(t.crashes[i].runs) == 0 {
			continue
		}
		parts += t.crashes[i].partCount
		if n++; n > maxPartCrashes || parts > maxRecordedParts {
			t.parts.dropped += int64(len(t.crashes[i].runs))
			t.dropRuns(t.crashes[i])
		}
	}
}

// dropRuns removes the requests of a crash that count against parts.
func (t *Tracker) dropRuns(c *crash) {
	for _, r := range c.runs {
		for _, part := range r.parts {
			t.parts.removeSuspect(part, r.mark)
		}
	}
	c.runs, c.condensed, c.partCount = nil, nil, 0
}

// SoundParts records that an attempt that was sent at a time, with the given parts, is
// being answered. It clears the parts of crashes before that time, and reports whether
// other entries need to know.
func (t *Tracker) SoundParts(now, sent time.Time, parts []uint64) bool {
	news := false
	for _, part := range parts {
		news = t.soundPart(now, sent, part) || news
	}
	return news
}

// soundPart records that an attempt with a part, sent at a time, was answered. It reports
// whether that has cleared the part of anything.
func (t *Tracker) soundPart(now, sent time.Time, part uint64) bool {
	if !t.parts.sound.add(part, sent) || !t.clearPart(part, sent) {
		return false
	}
	t.parts.soundNews[part] = now
	t.parts.exonerated.add(part, sent)
	return true
}

// clearPart clears a part of the crashes up to a time, and of a verdict that is based on
// them. It reports whether there were any.
func (t *Tracker) clearPart(part uint64, until time.Time) bool {
	cleared := false
	if d, ok := t.parts.deadly[part]; ok && !d.at.After(until) {
		t.withdraw(part)
		cleared = true
	}
	if t.parts.suspects[part].count == 0 {
		return cleared
	}
	// Answered parts are told apart from others.
	t.parts.changed = true
	for _, c := range t.crashes {
		if c.at.After(until) {
			continue
		}
		for i := range c.runs {
			r := &c.runs[i]
			if at := slices.Index(r.parts, part); at >= 0 {
				r.parts = slices.Delete(r.parts, at, at+1)
				t.parts.removeSuspect(part, r.mark)
				c.partCount--
				cleared = true
			}
		}
	}
	return cleared
}

// withdraw ends the verdict on a part. Its crashes count against other parts again.
func (t *Tracker) withdraw(part uint64) {
	delete(t.parts.deadly, part)
	for _, c := range t.crashes {
		c.hasCause = c.hasCause && c.cause != part
	}
}

// DeadlyPart returns the part of a prompt because of which a request must not be sent to
// any upstream.
func (t *Tracker) DeadlyPart(now time.Time, parts []uint64) (uint64, bool) {
	if len(t.parts.deadly) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if d, ok := t.parts.deadly[part]; ok && now.Sub(d.at) < retention && d.covers(parts) {
			return part, true
		}
	}
	return 0, false
}

// covers reports whether a request with the given parts is refused.
func (d deadlyPart) covers(parts []uint64) bool {
	return !slices.ContainsFunc(d.with, func(w uint64) bool { return !slices.Contains(parts, w) })
}

// DeadlyParts returns the number of parts because of which requests are refused.
func (t *Tracker) DeadlyParts(now time.Time) int {
	n := 0
	for _, d := range t.parts.deadly {
		if now.Sub(d.at) < retention {
			n++
		}
	}
	return n
}

// DroppedEvidence returns how many requests and parts that were involved in crashes were
// not recorded because of the limits.
func (t *Tracker) DroppedEvidence() int64 { return t.parts.dropped }

// JudgeParts decides which parts crash upstreams and returns the new verdicts. It is cheap
// if there is nothing to judge.
func (t *Tracker) JudgeParts(now time.Time) []Verdict {
	if len(t.parts.suspects) == 0 || now.Sub(t.parts.judgedAt).Abs() < judgeInterval {
		return nil
	}
	t.parts.judgedAt = now
	t.expire(now)
	t.condense()
	var verdicts []Verdict
	parts := t.suspectedParts()
	// A verdict on a narrow part explains crashes in which broad ones were involved.
	for _, broad := range []bool{false, true} {
		for _, part := range parts {
			if d, isNew := t.judge(now, part, broad); isNew {
				t.markDeadly(part, d)
				verdicts = append(verdicts, d.verdict(part))
			}
		}
	}
	return verdicts
}

// judge decides about one part if it is a broad or a narrow one, as asked for. It reports
// whether there is a new verdict.
func (t *Tracker) judge(now time.Time, part uint64, broad bool) (deadlyPart, bool) {
	if d, ok := t.parts.deadly[part]; ok {
		return t.widen(part, d)
	}
	e := t.evidence(now, part, settleTime)
	if e.isBroad() != broad {
		return deadlyPart{}, false
	}
	if broad {
		e = t.evidence(now, part, lateSettleTime)
	}
	if !e.isDeadly() || t.isExplainedByOthers(e) {
		return deadlyPart{}, false
	}
	return deadlyPart{at: e.last, with: t.companions(e), crashes: len(e.times), upstreams: e.upstreams}, true
}

// isExplainedByOthers reports whether parts that crashed more upstreams were involved in
// nearly all crashes of a part, so that it is hardly the cause.
func (t *Tracker) isExplainedByOthers(e *evidence) bool {
	total, own := t.crashesWith(e.part, nil), 0
	for _, suspects := range e.suspectSets {
		isExplained := false
		for other := range suspects {
			isExplained = isExplained || t.crashesWith(other, nil) > total && t.crashesWith(other, &e.part) >= minOwnCrashes
		}
		if !isExplained {
			own++
		}
	}
	return own < minOwnCrashes
}

// crashesWith returns the number of crashes that count against a part, and if without is
// given, of those that involve no request with that other part.
func (t *Tracker) crashesWith(part uint64, without *uint64) int {
	n := 0
	for _, c := range t.crashes {
		if c.hasCause && c.cause != part || !anyHas(c.condensed, part) || without != nil && anyHas(c.condensed, *without) {
			continue
		}
		n++
	}
	return n
}

func (d deadlyPart) verdict(part uint64) Verdict {
	return Verdict{Kind: PartVerdict, Fingerprint: part, At: d.at, With: d.with, Crashes: d.crashes, Upstreams: d.upstreams}
}

// suspectedParts returns the parts that were involved in at least Limit crashes, those
// with the most crashes first and then the deeper ones.
func (t *Tracker) suspectedParts() []uint64 {
	counts, depths := map[uint64]int{}, map[uint64]int{}
	for _, c := range t.crashes {
		seen := map[uint64]bool{}
		for _, r := range c.condensed {
			for i, part := range r.parts {
				if t.parts.suspects[part].count < Limit {
					continue
				}
				depths[part] = max(depths[part], i)
				if !seen[part] {
					seen[part] = true
					counts[part]++
				}
			}
		}
	}
	maps.DeleteFunc(counts, func(_ uint64, n int) bool { return n < Limit })
	return slices.SortedFunc(maps.Keys(counts), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(depths[b], depths[a]), cmp.Compare(a, b))
	})
}

// markDeadly records that a part crashes upstreams. The crashes with it count against no
// request, and against other parts only if they came with it.
func (t *Tracker) markDeadly(part uint64, d deadlyPart) {
	t.parts.deadly[part] = d
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.runs, func(r run) bool { return slices.Contains(r.parts, part) && d.covers(r.parts) }) {
			t.attributeToPart(c, part)
		}
	}
}

func (t *Tracker) attributeToPart(c *crash, part uint64) {
	if !c.hasCause {
		c.cause, c.hasCause = part, true
	}
	t.attribute(c)
}

// widen returns the verdict on a part without the other parts without which it has crashed
// upstreams as well, and reports whether there are any.
func (t *Tracker) widen(part uint64, d deadlyPart) (deadlyPart, bool) {
	if len(d.with) == 0 {
		return d, false
	}
	without := map[uint64]int{}
	last := d.at
	for _, c := range t.crashes {
		for _, w := range d.with {
			if slices.ContainsFunc(c.runs, func(r run) bool { return slices.Contains(r.parts, part) && !slices.Contains(r.parts, w) }) {
				without[w]++
				last = maxTime(last, c.at)
			}
		}
	}
	with := slices.DeleteFunc(slices.Clone(d.with), func(w uint64) bool { return without[w] >= minOwnCrashes })
	if len(with) == len(d.with) {
		return d, false
	}
	d.with, d.at = with, last
	return d, true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
