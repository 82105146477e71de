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
	filters   []Filter // those that give the same answer for a class
	choosy    []Filter // the ChoosyFilters
	scorers   []Scorer
	upstreams map[string]*Upstream
	services  map[string]*index // by the text of the selector
	names     []string
	objects   []*api.Object
	entries   int
	// exhaustive says that some scorer wants to see every upstream.
	exhaustive bool
	// starts counts dispatches, picks decisions.
	starts, picks uint64
	// version rises whenever an upstream may have become free.
	version uint64
	recent  recent
	scratch []*Upstream
	// looked has the upstreams that the last decision looked at.
	looked []*Upstream
}

// NewTable returns an empty table.
func NewTable(filters []Filter, scorers []Scorer) *Table {
	t := &Table{
		scorers:   scorers,
		upstreams: map[string]*Upstream{},
		services:  map[string]*index{},
		entries:   1,
	}
	for _, f := range filters {
		if _, ok := f.(ChoosyFilter); ok {
			t.choosy = append(t.choosy, f)
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

// SetEntries says how many entries act on the same load reports.
func (t *Table) SetEntries(n int) { t.entries = max(n, 1) }

// SetObjects replaces the set of upstreams, keeping what is known about those
// that stay.
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
		u.services = nil
		u.Spec = o.Spec.(*api.UpstreamSpec)
		u.Labels = effectiveLabels(o, u.Spec)
		next[o.Name] = u
	}
	t.upstreams = next
	t.names = slices.Sorted(maps.Keys(next))
	t.recent = recent{}
	clear(t.services)
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

// Get returns the upstream of a name, or nil.
func (t *Table) Get(name string) *Upstream { return t.upstreams[name] }

// Names returns the names of all upstreams in sorted order.
func (t *Table) Names() []string { return t.names }

// Candidates returns the upstreams that a selector matches, in name order.
func (t *Table) Candidates(sel api.Selector) []*Upstream { return t.index(sel).all }

// OpenSlots returns the number of slots, in use or not, of the upstreams that a
// selector matches and that are not leaving.
func (t *Table) OpenSlots(sel api.Selector) int { return t.index(sel).slots }

func (t *Table) index(sel api.Selector) *index {
	key := sel.String()
	if x, ok := t.services[key]; ok {
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
		u.services = append(u.services, x)
	}
	t.services[key] = x
	return x
}

// Pick returns the upstream with the lowest score among the candidates that
// every filter keeps, or nil. It returns nil only if the filters keep no upstream
// at all, or if a choosy filter lets the request wait although one is free.
func (t *Table) Pick(now time.Time, r *Request) *Upstream {
	x := t.index(r.Upstreams)
	b := &x.blocked[max(slices.Index(classes[:], r.Class), 0)]
	if len(r.Tried) == 0 && b.version == t.version && now.Before(b.until) {
		return nil
	}
	if !t.exhaustive {
		best, open := t.best(now, r, t.narrow(now, r, x))
		if open {
			return best
		}
	}
	for _, u := range x.all {
		u.Affinity = AffinityNone
	}
	best, open := t.best(now, r, x.all)
	if !open && len(r.Tried) == 0 {
		*b = blocked{version: t.version, until: nextPauseEnd(now, x.all)}
	}
	return best
}

// blockedRecheck bounds the time for which a search is not repeated.
const blockedRecheck = 100 * time.Millisecond

func nextPauseEnd(now time.Time, list []*Upstream) time.Time {
	until := now.Add(blockedRecheck)
	for _, u := range list {
		if u.SuspectUntil.After(now) && u.SuspectUntil.Before(until) {
			until = u.SuspectUntil
		}
	}
	return until
}

// best returns the upstream with the lowest score, or nil, and whether any was
// free for the request's class.
func (t *Table) best(now time.Time, r *Request, list []*Upstream) (best *Upstream, open bool) {
	t.looked = list
	var bestScore float64
	for _, u := range list {
		if !keep(t.filters, now, r, u) {
			continue
		}
		open = true
		if !keep(t.choosy, now, r, u) {
			continue
		}
		score := t.score(now, r, u)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best, open
}

func keep(filters []Filter, now time.Time, r *Request, u *Upstream) bool {
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

// Report stores an upstream's own load report.
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

// SetLeaving marks an upstream as leaving or not.
func (t *Table) SetLeaving(name string, leaving bool) {
	u := t.upstreams[name]
	if u == nil || u.Leaving == leaving {
		return
	}
	u.Leaving = leaving
	t.version++
	for _, x := range u.services {
		x.countSlots()
	}
	if !leaving {
		// What comes back is a new host with an empty memory.
		u.held = held{}
	}
}

// Tell tells the scorers that count what is started about a dispatch.
func (t *Table) Tell(now time.Time, r *Request, u *Upstream) {
	for _, s := range t.scorers {
		if o, ok := s.(StartObserver); ok {
			o.Started(now, r, u, t.entries)
		}
	}
}

// Started counts a dispatch of a prompt with a prefix to an upstream.
func (t *Table) Started(name string, prefix uint64) {
	if u := t.upstreams[name]; u != nil {
		u.InFlight++
		t.starts++
		u.LastStart = t.starts
		u.hold(prefix)
		t.recent.set(prefix, u)
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
	t.version++
	if !failed {
		u.Failures = 0
		u.SuspectUntil = time.Time{}
		return
	}
	pause := min(suspectBase<<min(u.Failures, 10), suspectMax)
	u.Failures++
	u.SuspectUntil = now.Add(pause)
}
