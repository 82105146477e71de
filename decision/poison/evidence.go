package poison

import (
	"maps"
	"slices"
	"time"
)

// evidence is what the crashes say about one part.
type evidence struct {
	// times, last and upstreams describe the crashes that count against the part.
	times     []time.Time
	last      time.Time
	upstreams []string
	// answered is set if the part was answered before the crashes.
	answered bool
	// requests and narrower count the crashes by the requests with the part, and by the
	// parts in these requests that fewer requests have. narrowerSets has the latter for
	// each crash that is not attributed.
	requests, narrower map[uint64]int
	narrowerSets       []map[uint64]bool
	// attributed is the number of crashes that have been attributed to a narrower part.
	attributed int
	// joint holds the narrower parts that are refused only together with the part.
	joint map[uint64]bool
	// together counts the crashes in which another part was in all requests with the
	// part, if it was never answered.
	together map[uint64]int
	// anywhere counts the crashes by the other parts that were on the upstream and were
	// never answered.
	anywhere map[uint64]int
	// otherRequests and otherParts count the crashes by what was on the upstream besides
	// the requests with the part.
	otherRequests, otherParts map[uint64]int
}

// evidence collects what counts against a part: crashes from an age on that are not
// attributed to a part of other requests.
func (t *Tracker) evidence(now time.Time, part uint64, settle time.Duration) *evidence {
	e := &evidence{
		answered: t.parts.sound.knows(part),
		requests: map[uint64]int{}, narrower: map[uint64]int{}, joint: map[uint64]bool{}, together: map[uint64]int{}, anywhere: map[uint64]int{}, otherRequests: map[uint64]int{}, otherParts: map[uint64]int{},
	}
	for _, c := range t.crashes {
		if now.Sub(c.at) < settle {
			continue
		}
		with, without := c.split(part)
		if len(with) == 0 || c.hasCause && c.cause != part && !anyHas(with, c.cause) {
			continue
		}
		e.times = append(e.times, c.at)
		e.last = maxTime(e.last, c.at)
		e.upstreams = append(e.upstreams, c.upstream)
		beside := e.addRequests(t, part, with)
		e.addOthers(t, c, with, without, beside)
		if c.hasCause && c.cause != part && !e.joint[c.cause] {
			e.attributed++
			e.narrowerSets = e.narrowerSets[:len(e.narrowerSets)-1]
		}
	}
	return e
}

// split divides the requests of a crash into those with a part and the others.
func (c *crash) split(part uint64) (with, without []run) {
	for _, r := range c.runs {
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

// addRequests counts the requests of a crash that have the part. It returns the other
// parts of these requests.
func (e *evidence) addRequests(t *Tracker, part uint64, with []run) map[uint64]bool {
	narrower, beside := map[uint64]bool{}, map[uint64]bool{}
	for _, r := range with {
		e.requests[r.request]++
		own := slices.Index(r.parts, part)
		for i, other := range r.parts {
			if other == part {
				continue
			}
			beside[other] = true
			answered := t.parts.sound.knows(other)
			if answered == e.answered && i > own || e.answered && !answered {
				narrower[other] = true
				e.joint[other] = slices.Contains(t.parts.deadly[other].with, part)
			}
		}
	}
	count(e.narrower, narrower)
	e.narrowerSets = append(e.narrowerSets, narrower)
	for other := range beside {
		if !t.parts.sound.knows(other) && !slices.ContainsFunc(with, func(r run) bool { return !slices.Contains(r.parts, other) }) {
			e.together[other]++
		}
	}
	return beside
}

// addOthers counts what was involved in a crash besides the requests with the part and
// the parts in them.
func (e *evidence) addOthers(t *Tracker, c *crash, with, without []run, beside map[uint64]bool) {
	others := map[uint64]bool{}
	for _, r := range without {
		for _, other := range r.parts {
			if !beside[other] {
				others[other] = true
			}
		}
	}
	count(e.otherParts, others)
	for _, set := range []map[uint64]bool{beside, others} {
		for other := range set {
			if !t.parts.sound.knows(other) {
				e.anywhere[other]++
			}
		}
	}
	for _, request := range c.requests {
		if !slices.ContainsFunc(with, func(r run) bool { return r.request == request }) {
			e.otherRequests[request]++
		}
	}
}

// count adds one to the count of each member of a set.
func count(counts map[uint64]int, set map[uint64]bool) {
	for key := range set {
		counts[key]++
	}
}

// highest returns the highest of the counts, or 0.
func highest(counts map[uint64]int) int {
	top := 0
	for _, n := range counts {
		top = max(top, n)
	}
	return top
}

// isBroad reports whether sound requests are likely to have the part too: it was answered
// before, or came with several narrower parts.
func (e *evidence) isBroad() bool { return e.answered || len(e.narrower) > 1 }

// isDeadly reports whether the part is the cause of the crashes.
func (e *evidence) isDeadly() bool {
	n, limit := len(e.times), Limit
	if e.isBroad() {
		limit = HardLimit
		n -= e.attributed
		if n < 2*HardLimit {
			n -= e.explained()
		}
	}
	own := len(e.times) - max(highest(e.requests), highest(e.narrower))
	if n < limit || own < minOwnCrashes || countRounds(e.times, partRoundWindow) < minPartRounds {
		return false
	}
	rival := max(highest(e.otherRequests), highest(e.otherParts))
	switch {
	case n < HardLimit:
		return rival < n-1
	case n < 2*HardLimit:
		return rival < n
	}
	return true
}

// explained returns the number of crashes in which a narrower part was involved that was
// involved in others as well.
func (e *evidence) explained() int {
	n := 0
	for _, set := range e.narrowerSets {
		for part := range set {
			if e.narrower[part] > 1 && !e.joint[part] {
				n++
				break
			}
		}
	}
	return n
}

// companions returns the parts that came with the part in all crashes, sorted.
func (e *evidence) companions() []uint64 {
	var list []uint64
	for _, other := range slices.Sorted(maps.Keys(e.together)) {
		if e.together[other] == len(e.times) {
			list = append(list, other)
		}
	}
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
