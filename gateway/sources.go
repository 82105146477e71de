package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"jaylink/decision/poison"
	"jaylink/decision/quota"
	"jaylink/objects"
	"jaylink/platform"
	"jaylink/serving"
)

const (
	// watchTimeoutFraction sets the timeout of a watch, as a fraction of the time within
	// which a new configuration must be active. A watch may hang without reporting
	// changes; the next one then still reads them in time.
	watchTimeoutFraction = 0.5
	// minStoreBackoff is the pause after a failed call. It doubles with each consecutive
	// failure up to maxStoreBackoff, because calls that the store refuses are billed too.
	minStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff = time.Second
	// upstreamBatchDelay is the pause between two watches of the upstream list, so that
	// one response carries several changes.
	upstreamBatchDelay = 250 * time.Millisecond
	// drainReserve is the part of the drain bound that is reserved for noticing a change
	// and acting on it. The drain bound is the time after which a removed upstream must
	// get no more requests.
	drainReserve = upstreamBatchDelay + 150*time.Millisecond
	// maxMissingTime is the longest time for which upstreams that disappear together are
	// kept. Registrations that expired during an outage of the store are renewed within
	// that time.
	maxMissingTime = 2 * time.Second
)

// acceptedConfiguration is a configuration with its encoded form, which is served to
// peers.
type acceptedConfiguration struct {
	*serving.Configuration
	raw []byte
}

// objectChanges is a list or a set of changes read from the store or from a peer.
type objectChanges struct {
	objects.RecordList
	// complete means that objects which are not in the list don't exist.
	complete bool
	// departed holds the upstreams that a peer knows to have been draining or gone.
	departed map[string]departure
	// fromPeer is set for what a peer has served. A peer's position is later than this entry's
	// also if only objects of other kinds have changed since.
	fromPeer bool
}

// watches reports whether this entry watches the store for both the configuration and the
// upstream list.
func (g *Gateway) watches() bool { return g.watchingConfiguration.Load() && g.watchingUpstreams.Load() }

// listAndWatch lists the objects of a kind and then watches them until ctx ends. watching
// is set while this entry does so; when other entries watch in its place, listAndWatch
// waits. batchDelay is the pause after a response with changes.
func (g *Gateway) listAndWatch(ctx context.Context, kind string, watching *atomic.Bool, batchDelay time.Duration, apply func(objectChanges)) {
	var at objects.Position
	listedOnce, failures := false, 0
	for ctx.Err() == nil {
		watch := at == objects.Position{} || g.shouldWatch()
		if watching.Swap(watch) != watch {
			g.log.Info("store watch started or stopped", "kind", kind, "watches", watch, "era", at.Era, "after", at.Revision)
		}
		if !watch {
			// Peers pass on what they see. A later watch begins with a list.
			at = objects.Position{}
			g.awaitNeedToWatch(ctx)
			continue
		}
		var c objectChanges
		var err error
		if (at == objects.Position{}) {
			c.complete = true
			c.RecordList, err = g.objects.List(ctx, kind)
		} else {
			c.RecordList, err = g.objects.Watch(ctx, kind, at, g.watchTimeout())
		}
		if errors.Is(err, objects.ErrCompacted) {
			g.log.Info("store has compacted the revision; listing again", "kind", kind, "era", at.Era, "after", at.Revision, "err", err)
			at = objects.Position{}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		g.setDependencyError("store."+kind, err)
		if err != nil {
			sleep(ctx, storeRetryDelay(failures))
			failures++
			continue
		}
		failures = 0
		g.withRecover("store."+kind, func() { apply(c) })
		if !listedOnce {
			listedOnce = true
			watching.Store(false)
			g.awaitOtherWatchers(ctx)
		}
		at = c.Position()
		if len(c.Items) > 0 && batchDelay > 0 {
			sleep(ctx, batchDelay)
		}
	}
}

// skipObject records that an object in the store can't be decoded.
func (g *Gateway) skipObject(kind string, err error) {
	g.metrics.skippedObjects.Inc(1)
	g.log.Warn("object in the store can't be decoded", "kind", kind, "err", err)
}

// storeRetryDelay returns the pause before the next store call after one that failed;
// failures is the number of consecutive failures before it.
func storeRetryDelay(failures int) time.Duration {
	return min(minStoreBackoff<<min(failures, 8), maxStoreBackoff)
}

// storeReachable reports whether this entry has read its objects and the last call for
// each kind succeeded. The caller holds mu.
func (g *Gateway) storeReachable() bool {
	for _, kind := range []string{platform.KindConfiguration, platform.KindUpstreams} {
		if _, lost := g.lostDependencies["store."+kind]; lost {
			return false
		}
	}
	return g.config.Load() != nil && g.upstreams.Load() != nil
}

func (g *Gateway) watchTimeout() time.Duration {
	return time.Duration(watchTimeoutFraction * float64(g.settings.Bounds.ConfigurationApply))
}

func (g *Gateway) watchConfiguration(ctx context.Context) {
	g.listAndWatch(ctx, platform.KindConfiguration, &g.watchingConfiguration, 0, g.applyStoredConfiguration)
}

// applyStoredConfiguration applies what a list or a watch of the store has returned.
func (g *Gateway) applyStoredConfiguration(c objectChanges) {
	g.confirmConfiguration()
	for _, rec := range c.Items {
		if rec.Name == platform.ConfigurationName && !rec.Deleted {
			g.applyConfiguration(rec.Value, "store")
		}
	}
}

// applyConfiguration makes a configuration the active one if it is newer than the current
// one.
func (g *Gateway) applyConfiguration(raw []byte, source string) {
	next, err := platform.DecodeConfiguration(raw)
	if err != nil {
		g.metrics.invalidConfigurations.Inc(1)
		g.log.Error("configuration is invalid; keeping the active one", "source", source, "err", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.config.Load(); current != nil && current.Version >= next.Version {
		return
	}
	now := time.Now()
	for i := range next.Customers {
		c := &next.Customers[i]
		g.customerNames[hashKey(c.Name)] = c.Name
		g.quota.Set(now, c.Name, quota.Allowance{Rate: c.Rate, Burst: c.Burst})
	}
	g.config.Store(&acceptedConfiguration{next, raw})
	g.metrics.version.Update(int64(next.Version))
	g.metrics.changed[newConfiguration].Inc(1)
	g.log.Info("configuration in force", "version", next.Version, "source", source, "routes", len(next.Routes))
}

func (g *Gateway) watchUpstreams(ctx context.Context) {
	g.listAndWatch(ctx, platform.KindUpstreams, &g.watchingUpstreams, upstreamBatchDelay, func(c objectChanges) { g.applyUpstreams(ctx, c, "store") })
}

// applyUpstreams merges changes into the upstream list.
func (g *Gateway) applyUpstreams(ctx context.Context, c objectChanges, source string) {
	for _, crashes := range g.mergeIntoUpstreams(ctx, c, source) {
		g.recordCrashes(g.settings.Name, crashes)
	}
}

// mergeIntoUpstreams is applyUpstreams without what needs other locks. It returns the
// crashes that the changes have shown, by upstream.
func (g *Gateway) mergeIntoUpstreams(ctx context.Context, c objectChanges, source string) [][]poison.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.upstreams.Load()
	if before != nil && c.Position().Before(before.position) {
		g.metrics.olderLists.Inc(1)
		g.log.Info("older upstream list ignored", "source", source, "count", len(c.Items), "complete", c.complete,
			"era", c.Position().Era, "revision", c.Revision, "active_era", before.position.Era, "active_revision", before.position.Revision)
		return nil
	}
	if before != nil && len(c.Items) == 0 && !c.complete {
		if c.fromPeer && before.position.Era == c.Position().Era {
			g.upstreams.Store(before.movedTo(c.Position()))
		}
		return nil
	}
	next := mergeUpstreams(before, c, time.Now(), g.missingGrace(), g.log.Warn)
	restarted := g.newProcesses(before, next)
	g.setUpstreams(next)
	if len(next.missing) > 0 {
		g.afterDelay(ctx, g.missingGrace(), g.dropMissing)
	}
	if before == nil {
		g.log.Info("upstream list loaded", "count", len(next.upstreams), "source", source, "era", next.position.Era, "revision", next.position.Revision)
		return nil
	}
	if next.restored(before) {
		g.log.Info("upstream list of the restored store loaded", "count", len(next.upstreams), "missing", len(next.missing),
			"withheld", len(next.withheld()), "source", source, "era", next.position.Era, "revision", next.position.Revision)
		g.afterDelay(ctx, withholdTime, g.releaseWithheld)
		g.noticeEra(next.position.Era)
	}
	return g.crashesOf(restarted)
}

// newProcesses returns the IDs of upstreams that are another process in the next list than in the
// one before. A restored store lists earlier processes, and later those that ran before again.
func (g *Gateway) newProcesses(before, next *upstreamList) []string {
	if before == nil {
		return nil
	}
	ids := restartedUpstreams(before.upstreams, next.upstreams)
	return slices.DeleteFunc(ids, func(id string) bool { return g.processStarts.wasListed(next.upstreams[id]) })
}

// crashesOf returns the crashes that restarts of upstreams show, by upstream. The caller holds mu.
func (g *Gateway) crashesOf(restarted []string) [][]poison.Crash {
	var crashes [][]poison.Crash
	for _, id := range restarted {
		if list := g.suspicions.Restarted(g.trueTime(), id); len(list) > 0 {
			g.metrics.crashes.Inc(1)
			crashes = append(crashes, list)
		}
	}
	return crashes
}

// afterDelay calls f after a delay unless ctx has ended by then.
func (g *Gateway) afterDelay(ctx context.Context, delay time.Duration, f func()) {
	time.AfterFunc(delay, func() {
		if ctx.Err() == nil {
			f()
		}
	})
}

// restartedUpstreams returns the IDs of upstreams that were not draining and are another
// process now, under the same ID or under another one at the same address.
func restartedUpstreams(before, next map[string]serving.Upstream) []string {
	added := map[string]string{}
	for id, u := range next {
		if _, known := before[id]; !known {
			added[u.Address] = u.Service
		}
	}
	var ids []string
	for id, old := range before {
		u, listed := next[id]
		isNewProcess := listed && u.StartMillis != old.StartMillis || !listed && added[old.Address] == old.Service
		if isNewProcess && !old.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// setUpstreams makes a list the active one. The caller holds mu.
func (g *Gateway) setUpstreams(next *upstreamList) {
	if before := g.upstreams.Load(); before != nil {
		g.logUpstreamChanges(before, next)
	}
	g.upstreams.Store(next)
	g.processStarts.list(next.upstreams)
	g.upstreamIDs = make(map[uint32]string, len(next.upstreams))
	for id := range next.upstreams {
		g.upstreamIDs[hashKey(id)] = id
	}
	g.table.SetUpstreams(slices.Collect(maps.Values(next.upstreams)))
	g.metrics.upstreams.Update(int64(len(next.upstreams)))
}

func (g *Gateway) logUpstreamChanges(before, next *upstreamList) {
	for id, u := range next.upstreams {
		if old, ok := before.upstreams[id]; !ok || old.Draining != u.Draining || old.StartMillis != u.StartMillis {
			g.metrics.changed[upstreamChanged].Inc(1)
			g.log.Info("upstream", "upstream", id, "address", u.Address, "zone", u.Zone, "draining", u.Draining, "era", next.position.Era, "revision", next.position.Revision)
		}
	}
	for id := range before.upstreams {
		if _, ok := next.upstreams[id]; !ok {
			g.metrics.changed[upstreamGone].Inc(1)
			g.log.Info("upstream gone", "upstream", id, "era", next.position.Era, "revision", next.position.Revision)
		}
	}
}

// missingGrace returns how long missing upstreams are kept: maxMissingTime, or less if
// the drain bound requires that a removed upstream gets no more requests sooner.
func (g *Gateway) missingGrace() time.Duration {
	return min(maxMissingTime, max(g.settings.Bounds.Drain-drainReserve, 0))
}

// dropMissing removes missing upstreams that have not been registered again in time.
func (g *Gateway) dropMissing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setUpstreams(g.upstreams.Load().withoutExpired(time.Now(), g.missingGrace()))
}

// releaseWithheld uses upstreams again that are still listed although they were gone before
// the store was restored.
func (g *Gateway) releaseWithheld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setUpstreams(g.upstreams.Load().withoutWithheld(g.log.Warn))
}
