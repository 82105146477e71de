package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Candidate is one upstream as a routing saw it.
type Candidate struct {
	Upstream string  `json:"upstream"`
	Score    float64 `json:"score"`
	// Parts has the score of each scorer by its name.
	Parts map[string]float64 `json:"parts,omitempty"`
	Busy  int                `json:"busy"`
	Slots int                `json:"slots"`
}

// Explain returns the best candidates for the request that was picked for last,
// at most limit of them, best first, and how many of those that the decision
// looked at each filter kept out. It must follow the Pick of the same request.
func (t *Table) Explain(now time.Time, r *Request, limit int) ([]Candidate, map[string]int) {
	var list []Candidate
	leftOut := map[string]int{}
	for _, u := range t.looked {
		if name := t.droppedBy(now, r, u); name != "" {
			leftOut[name]++
			continue
		}
		list = append(list, Candidate{Upstream: u.Name, Score: t.score(now, r, u), Busy: u.Busy(), Slots: u.Slots()})
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Upstream, b.Upstream))
	})
	list = list[:min(len(list), limit)]
	for i := range list {
		list[i].Parts = t.parts(now, r, t.Get(list[i].Upstream))
	}
	return list, leftOut
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

func (t *Table) parts(now time.Time, r *Request, u *Upstream) map[string]float64 {
	out := make(map[string]float64, len(t.scorers))
	for _, s := range t.scorers {
		out[pluginName(s)] = s.Score(now, r, u)
	}
	return out
}

// pluginName returns the name of a plug-in's package, which is its own name.
func pluginName(v any) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(fmt.Sprintf("%T", v), "*"), ".")
	return name
}
