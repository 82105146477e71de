package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A few entries watch the store; the others receive changes from them. These constants
// control which entries watch, and when others take over.
const (
	// targetWatchers is the number of entries that watch the store; in a large fleet it
	// applies to each region.
	targetWatchers = 3
	// minWatchers is the number of watchers below which another entry starts to watch. It
	// is less than targetWatchers because a lost datagram hides a watcher for a while.
	minWatchers = 2
	// watchTakeoverTime is reserved for the list and the watch by which an entry takes
	// over from a silent one.
	watchTakeoverTime = time.Second
	// watchStartDelay is how long an entry waits after its first list to learn of its
	// peers, and then again for entries of higher rank to start watching. Many entries
	// start at the same time, and without the delay all of them would watch. Both delays
	// together fit into the time within which a configuration must be active.
	watchStartDelay = 4 * watchCheckInterval
	// watchCheckInterval is how often an entry that does not watch the store checks
	// whether it has to.
	watchCheckInterval = 200 * time.Millisecond
)

// shouldWatch reports whether fewer than targetWatchers watchers rank higher than this
// entry.
func (g *Gateway) shouldWatch() bool { return g.watchersAhead() < targetWatchers }

// watchersAhead returns the number of live watchers that rank higher than this entry.
func (g *Gateway) watchersAhead() int {
	expiry := g.watcherExpiry()
	return g.entriesAhead(func(p *peer) bool { return p.watchesStore && time.Since(p.lastHeard) < expiry })
}

// entriesAhead returns the number of peers that satisfy counts and rank higher than this
// entry. Leaving peers, and those that gossip with it too seldom, are not counted.
func (g *Gateway) entriesAhead(counts func(*peer) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := 0
	rank := watchRank(g.settings.Name)
	for name, p := range g.peers {
		if counts(p) && !p.leaving && watchRank(name) < rank && g.gossipsOften(p) {
			ahead++
		}
	}
	return ahead
}

// watcherExpiry returns how long a watcher is counted after its last message. In a large
// fleet its messages arrive every two seconds. When a watcher fails, what remains of the
// time within which a change must be active is watchTakeoverTime, in which this entry
// takes over.
func (g *Gateway) watcherExpiry() time.Duration {
	return max(loadExpiry, g.settings.Bounds.ConfigurationApply-watchTakeoverTime)
}

// gossipsOften reports whether a peer sends messages often enough that this entry can
// rely on it to watch the store. In a large fleet only peers of the same region do. The
// caller holds mu.
func (g *Gateway) gossipsOften(p *peer) bool {
	return len(g.peers) <= smallFleet || p.region == g.settings.Region
}

// awaitOtherWatchers gives peers time to announce that they watch the store.
func (g *Gateway) awaitOtherWatchers(ctx context.Context) {
	if sleep(ctx, watchStartDelay) && g.enoughEntriesAhead() {
		sleep(ctx, watchStartDelay)
	}
}

// enoughEntriesAhead reports whether targetWatchers of the known entries rank higher than
// this one.
func (g *Gateway) enoughEntriesAhead() bool {
	return g.entriesAhead(func(*peer) bool { return true }) >= targetWatchers
}

// watchRank returns the rank of an entry as a watcher; lower values rank higher. It is a
// hash, so that the watchers are not all in one availability zone, as they might be if
// they were chosen by name.
func watchRank(entry string) uint64 { return xxhash.Sum64String(entry) }

// awaitNeedToWatch returns once this entry has to watch the store, or ctx ends.
func (g *Gateway) awaitNeedToWatch(ctx context.Context) {
	for sleep(ctx, watchCheckInterval) {
		if g.watchersAhead() < minWatchers {
			return
		}
	}
}
