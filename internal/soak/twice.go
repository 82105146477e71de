package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"jaylink/standin/upstream"
)

// workSlack is how long an upstream may still work on a request after another one has begun to.
const workSlack = 400 * time.Millisecond

// works run concurrently with the other series: upstreams that work on in silence.
var works = []fault{
	{"upstream_stalls", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		b.beOdd(upstream.Stall, hold)
		return b.ID
	}},
}

// overlap is work that went on after another upstream had begun to work on the request.
type overlap struct {
	first, next upstream.Work
}

// overlaps returns each work that went on for more than workSlack after another one on the same
// request began. awake returns from when on the process of a run was not paused before a time.
func overlaps(list []upstream.Work, awake func(run string, before time.Time) time.Time) []overlap {
	byRequest := map[string][]upstream.Work{}
	for _, w := range list {
		byRequest[w.RequestID] = append(byRequest[w.RequestID], w)
	}
	var out []overlap
	for _, of := range byRequest {
		slices.SortFunc(of, func(a, b upstream.Work) int { return a.From.Compare(b.From) })
		for i, first := range of {
			if i+1 == len(of) {
				break
			}
			due := of[i+1].From
			if since := awake(first.Run, first.To); since.After(due) {
				due = since
			}
			if first.To.Sub(due) > workSlack {
				out = append(out, overlap{first, of[i+1]})
			}
		}
	}
	slices.SortFunc(out, func(a, b overlap) int { return cmp.Compare(a.first.Run, b.first.Run) })
	return out
}

// checkWork checks that no request goes on at another upstream while the one before still works on
// it, if its entry was in touch and reached that one.
func checkWork(f *fleet, list []upstream.Work, report func(string, ...any)) {
	for _, o := range overlaps(list, f.awake) {
		e := f.senders[o.first.RequestID]
		if e == nil || !f.calm(e.name, o.next.From, o.first.To) || !f.reachable(o.first.Run, o.next.From.Add(-contactTime), o.first.To) {
			continue
		}
		report("TWICE: %s at %s: run %s worked on for %v after run %s had begun", o.first.RequestID, e.name, o.first.Run,
			o.first.To.Sub(o.next.From).Round(time.Millisecond), o.next.Run)
	}
}

// awake returns the end of the last pause, before a time, of the process of a run, or the zero
// value.
func (f *fleet) awake(run string, before time.Time) time.Time {
	for _, p := range f.processes {
		if strings.HasPrefix(run, p.id+"/") {
			return p.paused.lastEnd(before)
		}
	}
	return time.Time{}
}

// reachable reports whether nothing was wrong with the path to the upstream of a run between two
// times.
func (f *fleet) reachable(run string, from, to time.Time) bool {
	for _, b := range f.all() {
		if strings.HasPrefix(run, b.ID+"/") {
			return b.proxy.harmed.calm(from, to)
		}
	}
	return true
}

func (o overlap) String() string { return fmt.Sprintf("%s beside %s", o.first.Run, o.next.Run) }
