package route

import (
	"maps"
	"slices"
	"time"

	"jaylink/api"
)

// Bounds on how long a failing upstream is suspect.
const (
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 30 * time.Second
)

// Table holds the upstreams and selects among them. It is not safe for
// concurrent use.
type Table struct {
	filters          []Filter // not ChoosyFilters: same result for all requests of a class
	deferringFilters []Filter // the ChoosyFilters
	scorers          []Scorer
	upstreams        map[string]*Upstream
	indexes          map[string]*index // by the string form of the selector
	names            []string
	objects          []*api.Object
	entries          int
	// exhaustive is set if a scorer implements Exhaustive.
	exhaustive bool
	// dispatches and decisions count calls of Started and of sampleCandidates.
	dispatches, decisions uint64
	// version is incremented whenever an upstream may have become free.
	version       uint64
	lastUpstreams lastUpstreams
	// candidates is the reused buffer of sampleCandidates.
	candidates []*Upstream
	// examined lists the upstreams that the last decision examined.
	examined []*Upstream
}

// NewTable returns an empty table.
func NewTable(filters []Filter, scorers []Scorer) *Table {
	t := &Table{
		scorers:   scorers,
		upstreams: map[string]*Upstream{},
		indexes:   map[string]*index{},
		entries:   1,
	}
	for _, f := range filters {
		if _, ok := f.(DeferringFilter); ok {
			t.deferringFilters = append(t.deferringFilters, f)
		} else {
			t.filters = append(t.filters, f)
		}
	}
	for _, s := range scorers {
		if _, ok := s.(Exhaustive); ok {
			t.exhaustive = true
		}
	}
	return t
}

// SetEntries sets the number of entries that act on the same load reports.
func (t *Table) SetEntries(n int) { t.entries = max(n, 1) }

// SetObjects replaces the set of upstreams. The state of upstreams that remain in
// the set is kept.
func (t *Table) SetObjects(objects []*api.Object) {
	if slices.Equal(objects, t.objects) {
		return
	}
	t.objects = slices.Clone(objects)
	t.version++
	next := make(map[string]*Upstream, len(objects))
	for _, o := range objects {
		u := t.upstreams[o.Name]
		if u == nil {
			u = &Upstream{Name: o.Name, entries: &t.entries}
		}
		u.indexes = nil
		u.Spec = o.Spec.(*api.UpstreamSpec)
		u.Labels = effectiveLabels(o, u.Spec)
		next[o.Name] = u
	}
	t.upstreams = next
	t.names = slices.Sorted(maps.Keys(next))
	t.lastUpstreams = lastUpstreams{}
	clear(t.indexes)
	setRelativePrices(next)
}

func setRelativePrices(upstreams map[string]*Upstream) {
	sum := map[api.Protocol]float64{}
	count := map[api.Protocol]float64{}
	for _, u := range upstreams {
		sum[u.Spec.Protocol] += u.slotPrice()
		count[u.Spec.Protocol]++
	}
	for _, u := range upstreams {
		u.RelativePrice = 1
		if total := sum[u.Spec.Protocol]; total > 0 {
			u.RelativePrice = u.slotPrice() * count[u.Spec.Protocol] / total
		}
	}
}

func (u *Upstream) slotPrice() float64 { return u.Spec.PricePerHour / float64(u.Slots()) }

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

// Get returns the named upstream, or nil.
func (t *Table) Get(name string) *Upstream { return t.upstreams[name] }

// Names returns the names of all upstreams in sorted order.
func (t *Table) Names() []string { return t.names }

// Candidates returns the upstreams that match a selector, ordered by name.
func (t *Table) Candidates(sel api.Selector) []*Upstream { return t.index(sel).all }

// OpenSlots returns the number of slots, both free and in use, of the upstreams
// that match a selector and are not leaving.
func (t *Table) OpenSlots(sel api.Selector) int { return t.index(sel).slots }

func (t *Table) index(sel api.Selector) *index {
	key := sel.String()
	if x, ok := t.indexes[key]; ok {
		return x
	}
	list := []*Upstream{}
	for _, name := range t.names {
		if u := t.upstreams[name]; sel.Matches(u.Labels) {
			list = append(list, u)
		}
	}
	x := newIndex(list)
	for _, u := range list {
		u.indexes = append(u.indexes, x)
	}
	t.indexes[key] = x
	return x
}

// Pick returns the upstream with the lowest score among the candidates that pass
// every filter. It returns nil only if no upstream passes the filters, or if a
// DeferringFilter makes the request wait although an upstream is free.
func (t *Table) Pick(now time.Time, r *Request) *Upstream {
	x := t.index(r.Upstreams)
	b := &x.noneFree[max(slices.Index(classes[:], r.Class), 0)]
	if len(r.Tried) == 0 && b.version == t.version && now.Before(b.until) {
		return nil
	}
	if !t.exhaustive {
		best, anyFree := t.best(now, r, t.sampleCandidates(now, r, x))
		if anyFree {
			return best
		}
	}
	for _, u := range x.all {
		u.Affinity = AffinityNone
	}
	best, anyFree := t.best(now, r, x.all)
	if !anyFree && len(r.Tried) == 0 {
		*b = negativeResult{version: t.version, until: nextSuspectEnd(now, x.all)}
	}
	return best
}

// negativeResultTTL bounds the time for which an unsuccessful search is not
// repeated.
const negativeResultTTL = 100 * time.Millisecond

// nextSuspectEnd returns the earliest time at which an upstream stops being
// suspect, but no later than negativeResultTTL from now.
func nextSuspectEnd(now time.Time, list []*Upstream) time.Time {
	until := now.Add(negativeResultTTL)
	for _, u := range list {
		if u.SuspectUntil.After(now) && u.SuspectUntil.Before(until) {
			until = u.SuspectUntil
		}
	}
	return until
}

// best returns the upstream with the lowest score, or nil, and whether any
// upstream passed all filters other than ChoosyFilters.
func (t *Table) best(now time.Time, r *Request, list []*Upstream) (best *Upstream, anyFree bool) {
	t.examined = list
	var bestScore float64
	for _, u := range list {
		if !keptByAll(t.filters, now, r, u) {
			continue
		}
		anyFree = true
		if !keptByAll(t.deferringFilters, now, r, u) {
			continue
		}
		score := t.score(now, r, u)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best, anyFree
}

func keptByAll(filters []Filter, now time.Time, r *Request, u *Upstream) bool {
	for _, f := range filters {
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

// Report stores a load report from an upstream. Reports older than the latest
// one are ignored.
func (t *Table) Report(name string, load Load) {
	u := t.upstreams[name]
	if u == nil || load.At.Before(u.Load.At) {
		return
	}
	before := u.Busy()
	u.Load = load
	u.LoadInFlight = u.InFlight
	if u.Busy() < before {
		t.version++
	}
}

// SetLeaving sets whether an upstream is leaving.
func (t *Table) SetLeaving(name string, leaving bool) {
	u := t.upstreams[name]
	if u == nil || u.Leaving == leaving {
		return
	}
	u.Leaving = leaving
	t.version++
	for _, x := range u.indexes {
		x.countSlots()
	}
	if !leaving {
		// An upstream that returns runs on a new host with an empty cache.
		u.prefixes = prefixSet{}
	}
}

// NotifyStarted notifies the scorers that implement StartObserver of a dispatch.
func (t *Table) NotifyStarted(now time.Time, r *Request, u *Upstream) {
	for _, s := range t.scorers {
		if o, ok := s.(StartObserver); ok {
			o.Started(now, r, u, t.entries)
		}
	}
}

// Started records that a prompt with a prefix was dispatched to an upstream.
func (t *Table) Started(name string, prefix uint64) {
	if u := t.upstreams[name]; u != nil {
		u.InFlight++
		t.dispatches++
		u.LastStart = t.dispatches
		u.addPrefix(prefix)
		t.lastUpstreams.set(prefix, u)
	}
}

// Ended records the end of a dispatch. A failure makes the upstream suspect for
// a time that doubles with each consecutive failure.
func (t *Table) Ended(now time.Time, name string, failed bool) {
	u := t.upstreams[name]
	if u == nil {
		return
	}
	u.InFlight = max(u.InFlight-1, 0)
	t.version++
	if !failed {
		u.Failures = 0
		u.SuspectUntil = time.Time{}
		return
	}
	suspectTime := min(minSuspectTime<<min(u.Failures, 10), maxSuspectTime)
	u.Failures++
	u.SuspectUntil = now.Add(suspectTime)
}
