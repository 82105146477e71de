package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sameRound is the time within which crashes under a request that was sound
	// before are held against it once: many upstreams that end together each run
	// copies of a request that many callers send.
	sameRound = time.Second
	// maxAnswers is how many answered requests are remembered; some minutes of an
	// entry at 32 requests a second.
	maxAnswers = 4096
	// toldTime is how long other entries are told of a crash; later ones hear of the
	// verdict only.
	toldTime = 10 * time.Second
	// maxTold, maxToldRequests and maxToldVerdicts bound what is told at a time.
	maxTold         = 16
	maxToldRequests = 16
	maxToldVerdicts = 32
)

// Verdict is what entries tell each other about a request: it is poison, or it is
// sound because it was answered in full.
type Verdict struct {
	Fingerprint uint64
	At          time.Time
	Sound       bool
}

// Report is a crash with the requests that took part in it.
type Report struct {
	Upstream string
	At       time.Time
	Requests []uint64
}

// answers remembers the requests that were answered last.
type answers struct {
	has   map[uint64]bool
	order []uint64
	next  int
}

func newAnswers() *answers { return &answers{has: map[uint64]bool{}} }

func (a *answers) add(fingerprint uint64) {
	switch {
	case a.has[fingerprint]:
		return
	case len(a.order) < maxAnswers:
		a.order = append(a.order, fingerprint)
	default:
		delete(a.has, a.order[a.next])
		a.order[a.next] = fingerprint
		a.next = (a.next + 1) % maxAnswers
	}
	a.has[fingerprint] = true
}

// held is the number of crashes that count against a request. One that was answered
// before is the cause only if crashes follow each time that it is sent again.
func (t *Tracker) held(fingerprint uint64) int {
	if n := t.counts[fingerprint]; n < Limit || !t.answered.has[fingerprint] {
		return n
	}
	rounds := 0
	var last time.Time
	for _, at := range t.moments(fingerprint) {
		if rounds == 0 || at.Sub(last) >= sameRound {
			rounds, last = rounds+1, at
		}
	}
	return rounds
}

// moments returns when the crashes were that count against a request, in order.
func (t *Tracker) moments(fingerprint uint64) []time.Time {
	var list []time.Time
	for _, c := range t.crashes {
		if !c.explained && c.has(fingerprint) {
			list = append(list, c.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// Answered notes that a request was answered in full. It reports whether that is
// news for other entries: something was held against the request.
func (t *Tracker) Answered(now time.Time, fingerprint uint64) bool {
	t.answered.add(fingerprint)
	_, poisoned := t.poisoned[fingerprint]
	if !poisoned && t.counts[fingerprint] == 0 {
		return false
	}
	t.acquit(now, fingerprint)
	return true
}

// acquit forgets what is held against a request up to a moment.
func (t *Tracker) acquit(at time.Time, fingerprint uint64) {
	t.sound[fingerprint] = at
	if since, ok := t.poisoned[fingerprint]; ok && !since.After(at) {
		delete(t.poisoned, fingerprint)
	}
	for _, c := range t.crashes {
		i := slices.Index(c.requests, fingerprint)
		if c.explained || i < 0 || c.at.After(at) {
			continue
		}
		c.requests = slices.Delete(c.requests, i, i+1)
		if t.counts[fingerprint]--; t.counts[fingerprint] <= 0 {
			delete(t.counts, fingerprint)
		}
	}
}

// Hear takes a verdict of another entry and reports whether it was new. Of two, the
// newer one holds. An entry that has answered a request does not take it for poison on
// another's word: it counts the crashes differently.
func (t *Tracker) Hear(now time.Time, v Verdict) bool {
	t.expire(now)
	if now.Sub(v.At) >= memory || !v.At.After(t.sound[v.Fingerprint]) {
		return false
	}
	if v.Sound {
		t.answered.add(v.Fingerprint)
		t.acquit(v.At, v.Fingerprint)
		return true
	}
	_, known := t.poisoned[v.Fingerprint]
	if known || t.answered.has[v.Fingerprint] && !t.judge(v.Fingerprint) {
		return false
	}
	t.markPoisoned(v.At, v.Fingerprint)
	return true
}

// AnyPoison reports whether any request is poison.
func (t *Tracker) AnyPoison() bool { return len(t.poisoned) > 0 }

// News returns what other entries should know: crashes of late whose cause is not
// known, the newest first, and all verdicts.
func (t *Tracker) News(now time.Time) ([]Report, []Verdict) {
	t.expire(now)
	return t.reports(now), t.verdicts()
}

// HasNews reports whether there is any, without putting it together.
func (t *Tracker) HasNews(now time.Time) bool {
	t.expire(now)
	return len(t.poisoned)+len(t.sound) > 0 || slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.isTold(now) })
}

// isTold reports whether other entries are told of a crash.
func (c *crash) isTold(now time.Time) bool {
	return !c.explained && len(c.requests) > 0 && now.Sub(c.at) < toldTime
}

func (t *Tracker) reports(now time.Time) []Report {
	var list []Report
	for _, c := range t.crashes {
		if !c.isTold(now) {
			continue
		}
		requests := slices.Clone(c.requests)
		// Those that took part in most crashes are told first.
		slices.SortStableFunc(requests, func(a, b uint64) int { return cmp.Compare(t.counts[b], t.counts[a]) })
		list = append(list, Report{c.upstream, c.at, requests[:min(len(requests), maxToldRequests)]})
	}
	slices.SortStableFunc(list, func(a, b Report) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxTold)]
}

func (t *Tracker) verdicts() []Verdict {
	var list []Verdict
	for f, at := range t.poisoned {
		list = append(list, Verdict{Fingerprint: f, At: at})
	}
	for f, at := range t.sound {
		list = append(list, Verdict{Fingerprint: f, At: at, Sound: true})
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), maxToldVerdicts)]
}
