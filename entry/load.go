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
	// pollersPerUpstream is the number of entries that poll the load of an
	// upstream.
	pollersPerUpstream = 2
	// maxLoadSends is the number of peer messages in which an entry includes
	// the same report.
	maxLoadSends = 4
	// loadRefreshAge is the time after which a report is sent again even if
	// the load did not change significantly.
	loadRefreshAge = 5 * time.Second
	// loadChangeDivisor sets the smallest change that is sent before
	// loadRefreshAge: the load must change by more than 1/loadChangeDivisor.
	loadChangeDivisor = 8
)

// loadStore holds the latest load report of each upstream, passes it to the
// decision core and selects the reports to send to peers.
type loadStore struct {
	mu      sync.Mutex
	reports map[string]*loadReport
	// shared has the upstreams whose reports this entry sends to peers: those
	// of its own region and those of regions without entries. Reports of
	// other upstreams arrive occasionally from the entries of their regions.
	shared map[string]bool
	step   func(decision.Event)
}

type loadReport struct {
	upstream string
	load     route.Load
	// lastSent is the report that is sent to peers, and sendCount the number
	// of messages that it was in.
	lastSent  route.Load
	sendCount int
}

// needsSending reports whether a new load must be sent to peers: it differs
// enough from the last one sent or is newer by at least loadRefreshAge.
func (r *loadReport) needsSending(load route.Load) bool {
	before, after := r.lastSent.Running+r.lastSent.Queued, load.Running+load.Queued
	change := max(before-after, after-before)
	return change*loadChangeDivisor > before || load.At.Sub(r.lastSent.At) >= loadRefreshAge
}

func newLoadStore() *loadStore {
	return &loadStore{reports: map[string]*loadReport{}, shared: map[string]bool{}}
}

// setShared replaces the set of upstreams whose reports are sent to peers.
func (s *loadStore) setShared(shared map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = shared
}

// add stores a report and passes it to the decision core, unless a newer one is
// known.
func (s *loadStore) add(upstream string, load route.Load) {
	s.mu.Lock()
	old := s.reports[upstream]
	if old != nil && !load.At.After(old.load.At) {
		s.mu.Unlock()
		return
	}
	next := &loadReport{upstream: upstream, load: load, lastSent: load}
	if old != nil && !old.needsSending(load) {
		next.lastSent, next.sendCount = old.lastSent, old.sendCount
	}
	s.reports[upstream] = next
	s.mu.Unlock()
	s.step(decision.LoadEvent{Upstream: upstream, Load: load})
}

// Newest implements peer.Loads. It returns the reports that were sent least
// often and, among those, the newest, and deletes outdated reports.
func (s *loadStore) Newest(n int) []*peerpb.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var list []*loadReport
	for name, r := range s.reports {
		if now.Sub(r.load.At) > 2*loadRefreshAge {
			delete(s.reports, name)
		} else if r.sendCount < maxLoadSends && s.shared[name] {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *loadReport) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), b.load.At.Compare(a.load.At), cmp.Compare(a.upstream, b.upstream))
	})
	var out []*peerpb.Load
	for _, r := range list[:min(n, len(list))] {
		r.sendCount++
		out = append(out, &peerpb.Load{
			Upstream: r.upstream,
			Running:  uint32(r.lastSent.Running),
			Queued:   uint32(r.lastSent.Queued),
			AgeMs:    uint32(now.Sub(r.lastSent.At).Milliseconds()),
		})
	}
	return out
}

// Merge implements peer.Loads.
func (s *loadStore) Merge(loads []*peerpb.Load) {
	now := time.Now()
	for _, l := range loads {
		at := now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		s.add(l.GetUpstream(), route.Load{Running: int(l.GetRunning()), Queued: int(l.GetQueued()), At: at})
	}
}

// pollLoad starts a load request to each upstream that this entry polls.
func (e *Entry) pollLoad(ctx context.Context) {
	for _, o := range e.polledUpstreams() {
		e.work.Go(func() { e.pollUpstream(ctx, o) })
	}
}

// pollPlan caches the upstreams that an entry polls, with the inputs from which
// they were selected.
type pollPlan struct {
	catalog   *api.Catalog
	changes   uint64
	leaving   bool
	upstreams []*api.Object
}

// polledUpstreams returns the upstreams that this entry polls. They are selected
// again only if the configuration, a member or the leaving state has changed.
func (e *Entry) polledUpstreams() []*api.Object {
	catalog, changes, leaving := e.config.catalog(), e.peers.Changes(), e.leaving.Load()
	if p := e.pollPlan; p == nil || p.catalog != catalog || p.changes != changes || p.leaving != leaving {
		e.pollPlan = &pollPlan{catalog, changes, leaving, e.selectPolledUpstreams(catalog)}
	}
	return e.pollPlan.upstreams
}

// selectPolledUpstreams selects the upstreams that this entry polls. Each
// upstream is polled by pollersPerUpstream entries of its availability zone, or
// of its region if the zone has no entry, or of the fleet if the region has none.
func (e *Entry) selectPolledUpstreams(catalog *api.Catalog) []*api.Object {
	zones, regions := map[string][]string{}, map[string][]string{}
	regionOf := map[string]string{e.settings.AvailabilityZone: e.settings.Region}
	for _, m := range e.peers.Live() {
		regionOf[m.GetAvailabilityZone()] = m.GetRegion()
	}
	all := e.eligibleEntries(func(string) bool { return true })
	for zone, region := range regionOf {
		names := e.eligibleEntries(func(z string) bool { return z == zone })
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
		if slices.Contains(rendezvous.Pick("load/"+o.Name, names, pollersPerUpstream), e.settings.Name) {
			out = append(out, o)
		}
	}
	e.loads.setShared(shared)
	return out
}

func (e *Entry) pollUpstream(ctx context.Context, o *api.Object) {
	at := time.Now()
	report, err := e.upstreams.Load(ctx, o.Spec.(*api.UpstreamSpec).Address)
	if err != nil {
		e.log.Debug("load report failed", "upstream", o.Name, "err", err)
		return
	}
	e.loads.add(o.Name, route.Load{Running: report.Running, Queued: report.Queued, At: at})
	e.signs.observeReport(hostName(o), report.Leaving)
}

var (
	_ peer.Loads = (*loadStore)(nil)
	_ peer.Signs = (*signStore)(nil)
)
