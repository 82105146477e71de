package route

import (
	"maps"
	"slices"
	"time"

	"jaylink/api"
)

// Bounds on how long a failing upstream is avoided.
const (
	suspectBase = 500 * time.Millisecond
	suspectMax  = 30 * time.Second
)

// Table holds the upstreams and picks among them. It is not safe for
// concurrent use.
type Table struct {
	filters   []Filter
	scorers   []Scorer
	upstreams map[string]*Upstream
	services  map[string][]*Upstream // by the text of the selector
	names     []string
	starts    uint64
}

// NewTable returns an empty table.
func NewTable(filters []Filter, scorers []Scorer) *Table {
	return &Table{
		filters:   filters,
		scorers:   scorers,
		upstreams: map[string]*Upstream{},
		services:  map[string][]*Upstream{},
	}
}

// SetObjects replaces the set of upstreams, keeping what is known about those
// that stay.
func (t *Table) SetObjects(objects []*api.Object) {
	next := make(map[string]*Upstream, len(objects))
	for _, o := range objects {
		u := t.upstreams[o.Name]
		if u == nil {
			u = &Upstream{Name: o.Name}
		}
		u.Spec = o.Spec.(*api.UpstreamSpec)
		u.Labels = effectiveLabels(o, u.Spec)
		next[o.Name] = u
	}
	t.upstreams = next
	t.names = slices.Sorted(maps.Keys(next))
	clear(t.services)
}

func effectiveLabels(o *api.Object, s *api.UpstreamSpec) api.Labels {
	l := api.Labels{
		"name":              o.Name,
		"availability_zone": s.AvailabilityZone,
		"region":            s.Region,
		"machine_class":     s.MachineClass,
		"protocol":          string(s.Protocol),
	}
	maps.Copy(l, o.Labels)
	return l
}

// Get returns the upstream of a name, or nil.
func (t *Table) Get(name string) *Upstream { return t.upstreams[name] }

// Names returns the names of all upstreams in sorted order.
func (t *Table) Names() []string { return t.names }

// Candidates returns the upstreams that a selector matches, in name order.
func (t *Table) Candidates(sel api.Selector) []*Upstream {
	key := sel.String()
	list, ok := t.services[key]
	if ok {
		return list
	}
	list = []*Upstream{}
	for _, name := range t.names {
		if u := t.upstreams[name]; sel.Matches(u.Labels) {
			list = append(list, u)
		}
	}
	t.services[key] = list
	return list
}

// Pick returns the upstream with the lowest score among those that every
// filter keeps, or nil.
func (t *Table) Pick(now time.Time, r *Request) *Upstream {
	var best *Upstream
	var bestScore float64
	for _, u := range t.Candidates(r.Upstreams) {
		if !t.keep(now, r, u) {
			continue
		}
		score := t.score(now, r, u)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

func (t *Table) keep(now time.Time, r *Request, u *Upstream) bool {
	for _, f := range t.filters {
		if !f.Keep(now, r, u) {
			return false
		}
	}
	return true
}

func (t *Table) score(now time.Time, r *Request, u *Upstream) float64 {
	var total float64
	for _, s := range t.scorers {
		total += s.Score(now, r, u)
	}
	return total
}

// Report stores an upstream's own load report.
func (t *Table) Report(name string, load Load) {
	u := t.upstreams[name]
	if u == nil || load.At.Before(u.Load.At) {
		return
	}
	u.Load = load
	u.LoadInFlight = u.InFlight
}

// SetLeaving marks an upstream as leaving or not.
func (t *Table) SetLeaving(name string, leaving bool) {
	if u := t.upstreams[name]; u != nil {
		u.Leaving = leaving
	}
}

// Started counts a dispatch to an upstream.
func (t *Table) Started(name string) {
	if u := t.upstreams[name]; u != nil {
		u.InFlight++
		t.starts++
		u.LastStart = t.starts
	}
}

// Ended counts the end of a dispatch. A failure makes the upstream suspect for
// a time that doubles with each failure in a row.
func (t *Table) Ended(now time.Time, name string, failed bool) {
	u := t.upstreams[name]
	if u == nil {
		return
	}
	u.InFlight = max(u.InFlight-1, 0)
	if !failed {
		u.Failures = 0
		u.SuspectUntil = time.Time{}
		return
	}
	pause := min(suspectBase<<min(u.Failures, 10), suspectMax)
	u.Failures++
	u.SuspectUntil = now.Add(pause)
}
