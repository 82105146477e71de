package route

import (
	"cmp"
	"path"
	"reflect"
	"slices"
	"time"
)

// Candidate is one upstream as a routing saw it.
type Candidate struct {
	Upstream string  `json:"upstream"`
	Score    float64 `json:"score"`
	// Parts are the scores of the scorers, in their order.
	Parts []Part `json:"parts,omitempty"`
	Busy  int    `json:"busy"`
	Slots int    `json:"slots"`
}

// Part is the score of one scorer.
type Part struct {
	Scorer string  `json:"scorer"`
	Score  float64 `json:"score"`
}

// Explain returns the best candidates for the request that was picked for last,
// at most limit of them, best first, and how many of those that the decision
// looked at each filter kept out. It must follow the Pick of the same request.
func (t *Table) Explain(now time.Time, r *Request, limit int) ([]Candidate, map[string]int) {
	best := make([]Candidate, 0, limit+1)
	leftOut := map[string]int{}
	for _, u := range t.looked {
		if name := t.droppedBy(now, r, u); name != "" {
			leftOut[name]++
			continue
		}
		best = keepBest(best, Candidate{Upstream: u.Name, Score: t.score(now, r, u), Busy: u.Busy(), Slots: u.Slots()}, limit)
	}
	for i := range best {
		best[i].Parts = t.parts(now, r, t.Get(best[i].Upstream))
	}
	return best, leftOut
}

// keepBest inserts a candidate into a list in the order of scores and names and drops
// the last one over the limit.
func keepBest(best []Candidate, c Candidate, limit int) []Candidate {
	at, _ := slices.BinarySearchFunc(best, c, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Upstream, b.Upstream))
	})
	if at == limit {
		return best
	}
	best = slices.Insert(best, at, c)
	return best[:min(len(best), limit)]
}

func (t *Table) droppedBy(now time.Time, r *Request, u *Upstream) string {
	for _, f := range t.filters {
		if !f.Keep(now, r, u) {
			return pluginName(f)
		}
	}
	for _, f := range t.choosy {
		if !f.Keep(now, r, u) {
			return pluginName(f)
		}
	}
	return ""
}

func (t *Table) parts(now time.Time, r *Request, u *Upstream) []Part {
	out := make([]Part, 0, len(t.scorers))
	for _, s := range t.scorers {
		out = append(out, Part{Scorer: pluginName(s), Score: s.Score(now, r, u)})
	}
	return out
}

// pluginName returns the name of a plug-in's package, which is its own name.
func pluginName(v any) string { return path.Base(reflect.TypeOf(v).Elem().PkgPath()) }
