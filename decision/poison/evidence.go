package poison

import (
	"cmp"
	"slices"
	"time"
)

// tally counts crashes by a request or part.
type tally map[uint64]int

// add adds one to the count of each member of a set.
func (t tally) add(set map[uint64]bool) {
	for key := range set {
		t[key]++
	}
}

// highest returns the highest of the counts, or 0.
func (t tally) highest() int {
	top := 0
	for _, n := range t {
		top = max(top, n)
	}
	return top
}

// evidence is what the crashes say about one part.
type evidence struct {
	sound *recentTimes
	// suspects holds the parts of the runs in all crashes.
	suspects map[uint64]suspect
	part     uint64
	// answered is set if the part was answered before the crashes.
	answered bool
	// times, last and upstreams describe the crashes that count against the part. crowd is
	// the number of crashes at about the same times in which no recurring part was
	// involved.
	times     []time.Time
	last      time.Time
	upstreams []string
	crowd     int
	// requests counts the crashes by the requests with the part.
	requests tally
	// narrower counts the crashes by the parts in these requests that fewer requests
	// have, and narrowerRequests has the requests of each. narrowerSets has the parts of
	// each crash that is not attributed.
	narrower         tally
	narrowerRequests map[uint64]map[uint64]bool
	narrowerSets     []map[uint64]bool
	// isAncestor is set if the part came before one that was never answered.
	isAncestor bool
	// attributed is the number of crashes that have been attributed to a narrower part.
	attributed int
	// joint holds the narrower parts that are refused only together with the part.
	joint map[uint64]bool
	// together counts the crashes in which another part that was never answered was in all
	// requests with the part.
	together tally
	// suspectSets has the other parts that were never answered and were on the upstream,
	// for each crash that is not attributed.
	suspectSets []map[uint64]bool
	// otherRequests and otherParts count the crashes by what was on the upstream besides
	// the requests with the part.
	otherRequests, otherParts tally
}

// evidence collects what counts against a part: crashes from an age on that are not
// attributed to a part of other requests.
func (t *Tracker) evidence(now time.Time, part uint64, settle time.Duration) *evidence {
	e := &evidence{
		sound: t.parts.sound, suspects: t.parts.suspects, part: part, answered: t.parts.sound.has(part),
		requests: tally{}, narrower: tally{}, narrowerRequests: map[uint64]map[uint64]bool{}, joint: map[uint64]bool{},
		together: tally{}, otherRequests: tally{}, otherParts: tally{},
	}
	var others []time.Time
	for _, c := range t.crashes {
		if now.Sub(c.at) < settle {
			continue
		}
		with, without := c.split(part)
		switch {
		case c.hasCause && c.cause != part && !anyHas(with, c.cause):
		case len(with) == 0:
			if !t.hasRecurringPart(c) {
				others = append(others, c.at)
			}
		default:
			e.add(t, c, with, without)
		}
	}
	e.crowd = len(slices.DeleteFunc(others, func(at time.Time) bool {
		return !slices.ContainsFunc(e.times, func(own time.Time) bool { return own.Sub(at).Abs() < partRoundWindow })
	}))
	return e
}

// hasRecurringPart reports whether a part was involved in a crash that was never answered
// and was involved in others.
func (t *Tracker) hasRecurringPart(c *crash) bool {
	return slices.ContainsFunc(c.condensed, func(r run) bool {
		return slices.ContainsFunc(r.parts, func(part uint64) bool { return t.parts.suspects[part].count >= Limit && !t.parts.sound.has(part) })
	})
}

// split divides the requests of a crash into those with a part and the others.
func (c *crash) split(part uint64) (with, without []run) {
	for _, r := range c.condensed {
		if slices.Contains(r.parts, part) {
			with = append(with, r)
		} else {
			without = append(without, r)
		}
	}
	return with, without
}

func anyHas(list []run, part uint64) bool {
	return slices.ContainsFunc(list, func(r run) bool { return slices.Contains(r.parts, part) })
}

// add counts a crash of an upstream with requests with and without the part.
func (e *evidence) add(t *Tracker, c *crash, with, without []run) {
	e.times = append(e.times, c.at)
	e.last = maxTime(e.last, c.at)
	e.upstreams = append(e.upstreams, c.upstream)
	beside, narrower := map[uint64]bool{}, map[uint64]bool{}
	for _, r := range with {
		e.requests[r.request]++
		own := slices.Index(r.parts, e.part)
		for i, other := range r.parts {
			if other == e.part {
				continue
			}
			beside[other] = true
			e.isAncestor = e.isAncestor || i > own && !e.sound.has(other)
			if e.isNarrower(other, i > own) {
				narrower[other] = true
				e.joint[other] = slices.Contains(t.parts.deadly[other].with, e.part)
				e.addNarrowerRequest(other, r.request)
			}
		}
	}
	e.narrower.add(narrower)
	isAttributed := c.hasCause && c.cause != e.part && !e.joint[c.cause]
	if isAttributed {
		e.attributed++
	} else {
		e.narrowerSets = append(e.narrowerSets, narrower)
	}
	for other := range beside {
		if !e.sound.has(other) && !slices.ContainsFunc(with, func(r run) bool { return !slices.Contains(r.parts, other) }) {
			e.together[other]++
		}
	}
	others := e.addOthers(c, with, without, beside)
	if !isAttributed {
		e.suspectSets = append(e.suspectSets, e.neverAnswered(beside, others))
	}
}

// neverAnswered returns the members of sets of parts that were never answered.
func (e *evidence) neverAnswered(sets ...map[uint64]bool) map[uint64]bool {
	list := map[uint64]bool{}
	for _, set := range sets {
		for part := range set {
			if !e.sound.has(part) {
				list[part] = true
			}
		}
	}
	return list
}

// isNarrower reports whether fewer requests are likely to have another part of a prompt:
// one that was never answered, that fewer requests in crashes had, or that is deeper in the
// prompt.
func (e *evidence) isNarrower(other uint64, isDeeper bool) bool {
	if answered := e.sound.has(other); answered != e.answered {
		return e.answered
	}
	if own, others := e.suspects[e.part].count, e.suspects[other].count; own != others {
		return others < own
	}
	return isDeeper
}

func (e *evidence) addNarrowerRequest(part, request uint64) {
	if e.narrowerRequests[part] == nil {
		e.narrowerRequests[part] = map[uint64]bool{}
	}
	e.narrowerRequests[part][request] = true
}

// addOthers counts what was involved in a crash besides the requests with the part and
// the parts in them, and returns these other parts.
func (e *evidence) addOthers(c *crash, with, without []run, beside map[uint64]bool) map[uint64]bool {
	others := map[uint64]bool{}
	for _, r := range without {
		for _, other := range r.parts {
			if !beside[other] {
				others[other] = true
			}
		}
	}
	e.otherParts.add(others)
	for _, request := range c.requests {
		if !slices.ContainsFunc(with, func(r run) bool { return r.request == request }) {
			e.otherRequests[request]++
		}
	}
	return others
}

// isBroad reports whether sound requests are likely to have the part too: it was answered
// before, came with several narrower parts, or before one that was never answered.
func (e *evidence) isBroad() bool { return e.answered || len(e.narrower) > 1 || e.isAncestor }

// isDeadly reports whether the part is the cause of the crashes.
func (e *evidence) isDeadly() bool {
	n, limit, rounds := len(e.times)-e.attributed, Limit, minPartRounds
	if e.crowd >= n {
		limit, rounds = HardLimit, minPartRounds+1
	}
	if e.isBroad() {
		limit = HardLimit
		if n < 2*HardLimit {
			n -= e.explained()
		}
	}
	own := len(e.times) - max(e.requests.highest(), e.narrower.highest())
	if n < limit || own < minOwnCrashes || countRounds(e.times, partRoundWindow) < rounds {
		return false
	}
	rival := max(e.otherRequests.highest(), e.otherParts.highest())
	switch {
	case n < HardLimit:
		return rival < n-1
	case n < 2*HardLimit:
		return rival < n
	}
	return true
}

// explained returns the number of crashes in which a narrower part was involved that
// several requests have.
func (e *evidence) explained() int {
	n := 0
	for _, set := range e.narrowerSets {
		for part := range set {
			if len(e.narrowerRequests[part]) > 1 && !e.joint[part] {
				n++
				break
			}
		}
	}
	return n
}

// companions returns the parts that came with the part in all crashes, sorted. If there are
// too many, it returns those that the fewest requests have.
func (t *Tracker) companions(e *evidence) []uint64 {
	var list []uint64
	for other, n := range e.together {
		if n == len(e.times) {
			list = append(list, other)
		}
	}
	list = t.sameRuns(append(list, e.part))
	list = slices.DeleteFunc(list, func(part uint64) bool { return part == e.part || e.sound.has(part) })
	slices.SortFunc(list, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(e.suspects[a].count, e.suspects[b].count), cmp.Compare(a, b))
	})
	t.parts.dropped += int64(max(len(list)-maxCompanions, 0))
	list = list[:min(len(list), maxCompanions)]
	slices.Sort(list)
	return list
}

// countRounds returns the number of groups of times, where a group spans less than window.
func countRounds(times []time.Time, window time.Duration) int {
	rounds := 0
	var first time.Time
	for _, at := range slices.SortedFunc(slices.Values(times), time.Time.Compare) {
		if rounds == 0 || at.Sub(first) >= window {
			rounds, first = rounds+1, at
		}
	}
	return rounds
}
