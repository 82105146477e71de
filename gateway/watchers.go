package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Who watches the store, and when others do in their place.
const (
	// watchers is how many entries watch the store, in a large fleet of each region;
	// the others hear from them.
	watchers = 3
	// minWatchers is the number of watchers below which another entry begins to
	// watch. A lost datagram hides one of them for a while.
	minWatchers = 2
	// watchTakeover is what a list and a watch in place of a silent entry may take.
	watchTakeover = time.Second
	// watchLead is how long an entry that has listed what is there waits to hear who
	// the others are, and as long again for those before it to begin to watch. Many
	// entries start together, and all would watch. Both fit into the time in which
	// a configuration has to be in force.
	watchLead = 4 * watchCheck
	// watchCheck is how often an entry that does not watch looks whether it
	// has to.
	watchCheck = 200 * time.Millisecond
)

// keepsWatching reports whether an entry that watches the store is one of the few
// that do.
func (g *Gateway) keepsWatching() bool { return g.watchersBefore() < watchers }

// watchersBefore returns how many entries that watch the store come before this one.
func (g *Gateway) watchersBefore() int {
	life := g.watcherLife()
	return g.entriesBefore(func(p *peer) bool { return p.watches && time.Since(p.heard) < life })
}

// entriesBefore returns how many of the entries that count come before this one in
// the order in which entries watch the store.
func (g *Gateway) entriesBefore(counts func(*peer) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	rank := watchRank(g.settings.Name)
	for name, p := range g.peers {
		if counts(p) && !p.leaving && watchRank(name) < rank && g.tellsWatches(p) {
			before++
		}
	}
	return before
}

// watcherLife is how long an entry that watches the store counts without a word. In
// a large fleet its words come each two seconds; what a change then takes until it
// is in force leaves watchTakeover for this entry to watch in its place.
func (g *Gateway) watcherLife() time.Duration {
	return max(loadLife, g.settings.Bounds.ConfigurationApply-watchTakeover)
}

// tellsWatches reports whether a peer's words come often enough to leave watching the
// store to it; in a large fleet only those of the region do. The caller holds mu.
func (g *Gateway) tellsWatches(p *peer) bool {
	return len(g.peers) <= smallFleet || p.region == g.settings.Region
}

// awaitWatchers gives others the time to say that they watch the store.
func (g *Gateway) awaitWatchers(ctx context.Context) {
	if sleep(ctx, watchLead) && g.othersWatchFirst() {
		sleep(ctx, watchLead)
	}
}

// othersWatchFirst reports whether enough of the known entries come before this one.
func (g *Gateway) othersWatchFirst() bool {
	return g.entriesBefore(func(*peer) bool { return true }) >= watchers
}

// watchRank orders entries in a way that does not go by availability zone.
func watchRank(entry string) uint64 { return xxhash.Sum64String(entry) }

// awaitWatch returns once this entry has to watch the store.
func (g *Gateway) awaitWatch(ctx context.Context) {
	for sleep(ctx, watchCheck) {
		if g.watchersBefore() < minWatchers {
			return
		}
	}
}
