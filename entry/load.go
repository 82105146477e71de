package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/rendezvous"
	"jaylink/decision/route"
	"jaylink/peer"
	"jaylink/peer/peerpb"
)

const (
	// pollers is the number of entries that ask an upstream for its load.
	pollers = 2
	// loadSends is how often an entry passes a report on.
	loadSends = 4
	// loadRenewal is the age at which a report that did not change is passed
	// on all the same.
	loadRenewal = 5 * time.Second
	// loadChangeShare is the part of a load, one in so many, by which it has
	// to change to be passed on before that.
	loadChangeShare = 8
)

// loadStore holds the newest report of each upstream and passes them on.
type loadStore struct {
	mu      sync.Mutex
	reports map[string]*loadReport
	// shared has the upstreams whose reports are passed on: those of the own
	// region, and those of a region that has no entries. Other regions hear
	// of the rest now and then, from there.
	shared map[string]bool
	step   func(decision.Event)
}

type loadReport struct {
	upstream string
	load     route.Load
	// told is the report that peers were told last, sent how often.
	told route.Load
	sent int
}

// differs reports whether peers should be told of a load.
func (r *loadReport) differs(load route.Load) bool {
	before, after := r.told.Running+r.told.Queued, load.Running+load.Queued
	change := max(before-after, after-before)
	return change*loadChangeShare > before || load.At.Sub(r.told.At) >= loadRenewal
}

func newLoadStore() *loadStore {
	return &loadStore{reports: map[string]*loadReport{}, shared: map[string]bool{}}
}

// share replaces the set of upstreams whose reports are passed on.
func (s *loadStore) share(shared map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = shared
}

// take keeps a report if it is newer than the one that is known.
func (s *loadStore) take(upstream string, load route.Load) {
	s.mu.Lock()
	old := s.reports[upstream]
	if old != nil && !load.At.After(old.load.At) {
		s.mu.Unlock()
		return
	}
	next := &loadReport{upstream: upstream, load: load, told: load}
	if old != nil && !old.differs(load) {
		next.told, next.sent = old.told, old.sent
	}
	s.reports[upstream] = next
	s.mu.Unlock()
	s.step(decision.LoadEvent{Upstream: upstream, Load: load})
}

// Newest implements peer.Loads: the reports that were passed on least often.
func (s *loadStore) Newest(n int) []*peerpb.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var list []*loadReport
	for name, r := range s.reports {
		if now.Sub(r.load.At) > 2*loadRenewal {
			delete(s.reports, name)
		} else if r.sent < loadSends && s.shared[name] {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *loadReport) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.load.At.Compare(a.load.At), cmp.Compare(a.upstream, b.upstream))
	})
	var out []*peerpb.Load
	for _, r := range list[:min(n, len(list))] {
		r.sent++
		out = append(out, &peerpb.Load{
			Upstream: r.upstream,
			Running:  uint32(r.told.Running),
			Queued:   uint32(r.told.Queued),
			AgeMs:    uint32(now.Sub(r.told.At).Milliseconds()),
		})
	}
	return out
}

// Merge implements peer.Loads.
func (s *loadStore) Merge(loads []*peerpb.Load) {
	now := time.Now()
	for _, l := range loads {
		at := now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		s.take(l.GetUpstream(), route.Load{Running: int(l.GetRunning()), Queued: int(l.GetQueued()), At: at})
	}
}

// pollLoad asks the upstreams that this entry polls for their reports.
func (e *Entry) pollLoad(ctx context.Context) {
	for _, o := range e.polled() {
		e.work.Go(func() { e.pollUpstream(ctx, o) })
	}
}

// pollPlan is what an entry polls, and what that was worked out from.
type pollPlan struct {
	catalog   *api.Catalog
	changes   uint64
	leaving   bool
	upstreams []*api.Object
}

// polled returns the upstreams that this entry polls. They are worked out anew
// only when the configuration or a member changed.
func (e *Entry) polled() []*api.Object {
	catalog, changes, leaving := e.config.catalog(), e.peers.Changes(), e.leaving.Load()
	if p := e.pollPlan; p == nil || p.catalog != catalog || p.changes != changes || p.leaving != leaving {
		e.pollPlan = &pollPlan{catalog, changes, leaving, e.choosePolled(catalog)}
	}
	return e.pollPlan.upstreams
}

// choosePolled chooses the upstreams that this entry polls: each is polled by a few
// entries of its zone, or of its region or of all if there are none nearer.
func (e *Entry) choosePolled(catalog *api.Catalog) []*api.Object {
	zones, regions := map[string][]string{}, map[string][]string{}
	regionOf := map[string]string{e.settings.AvailabilityZone: e.settings.Region}
	for _, m := range e.peers.Live() {
		regionOf[m.GetAvailabilityZone()] = m.GetRegion()
	}
	all := e.takers(func(string) bool { return true })
	for zone, region := range regionOf {
		names := e.takers(func(z string) bool { return z == zone })
		zones[zone] = names
		regions[region] = append(regions[region], names...)
	}
	var out []*api.Object
	shared := map[string]bool{}
	for _, o := range catalog.Upstreams() {
		spec := o.Spec.(*api.UpstreamSpec)
		shared[o.Name] = spec.Region == e.settings.Region || len(regions[spec.Region]) == 0
		names := zones[spec.AvailabilityZone]
		if len(names) == 0 {
			names = regions[spec.Region]
		}
		if len(names) == 0 {
			names = all
		}
		if slices.Contains(rendezvous.Pick("load/"+o.Name, names, pollers), e.settings.Name) {
			out = append(out, o)
		}
	}
	e.loads.share(shared)
	return out
}

func (e *Entry) pollUpstream(ctx context.Context, o *api.Object) {
	at := time.Now()
	report, err := e.upstreams.Load(ctx, o.Spec.(*api.UpstreamSpec).Address)
	if err != nil {
		e.log.Debug("load report failed", "upstream", o.Name, "err", err)
		return
	}
	e.loads.take(o.Name, route.Load{Running: report.Running, Queued: report.Queued, At: at})
	e.signs.report(hostOf(o), report.Leaving)
}

var (
	_ peer.Loads = (*loadStore)(nil)
	_ peer.Signs = (*signStore)(nil)
)
