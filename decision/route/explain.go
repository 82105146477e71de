package route

import (
	"cmp"
	"path"
	"reflect"
	"slices"
	"time"
)

// Candidate describes one upstream as evaluated in a routing decision.
type Candidate struct {
	Upstream string  `json:"upstream"`
	Score    float64 `json:"score"`
	// Parts holds the score from each scorer, in the order of the scorers.
	Parts []ScorerScore `json:"parts,omitempty"`
	Busy  int           `json:"busy"`
	Slots int           `json:"slots"`
}

// ScorerScore is the contribution of one scorer to a total score.
type ScorerScore struct {
	Scorer string  `json:"scorer"`
	Score  float64 `json:"score"`
}

// Explain describes the last decision. It returns at most limit candidates, best
// first, and the number of examined upstreams that each filter rejected. It must
// be called after Pick for the same request.
func (t *Table) Explain(now time.Time, r *Request, limit int) ([]Candidate, map[string]int) {
	best := make([]Candidate, 0, limit+1)
	rejected := map[string]int{}
	for _, u := range t.examined {
		if name := t.rejectedBy(now, r, u); name != "" {
			rejected[name]++
			continue
		}
		best = insertCandidate(best, Candidate{Upstream: u.Name, Score: t.score(now, r, u), Busy: u.Busy(), Slots: u.Slots()}, limit)
	}
	for i := range best {
		best[i].Parts = t.scorerParts(now, r, t.Get(best[i].Upstream))
	}
	return best, rejected
}

// insertCandidate inserts a candidate into a list ordered by score and name, and
// truncates the list to the limit.
func insertCandidate(best []Candidate, c Candidate, limit int) []Candidate {
	at, _ := slices.BinarySearchFunc(best, c, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Upstream, b.Upstream))
	})
	if at == limit {
		return best
	}
	best = slices.Insert(best, at, c)
	return best[:min(len(best), limit)]
}

// rejectedBy returns the name of the first filter that rejects an upstream, or "".
func (t *Table) rejectedBy(now time.Time, r *Request, u *Upstream) string {
	for _, f := range t.filters {
		if !f.Keep(now, r, u) {
			return pluginName(f)
		}
	}
	for _, f := range t.deferringFilters {
		if !f.Keep(now, r, u) {
			return pluginName(f)
		}
	}
	return ""
}

func (t *Table) scorerParts(now time.Time, r *Request, u *Upstream) []ScorerScore {
	out := make([]ScorerScore, 0, len(t.scorers))
	for _, s := range t.scorers {
		out = append(out, ScorerScore{Scorer: pluginName(s), Score: s.Score(now, r, u)})
	}
	return out
}

// pluginName returns the name of a plug-in, which is that of its package.
func pluginName(v any) string { return path.Base(reflect.TypeOf(v).Elem().PkgPath()) }
