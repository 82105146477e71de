package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"jaylink/objects"
	"jaylink/platform"
)

const (
	// discoveryInterval is the time between two lookups of the other entries. A lookup
	// finds those from which no gossip message has arrived yet.
	discoveryInterval = 30 * time.Second
	// secondLookupDelay is the time from the first lookup to the second. Entries often
	// start together, so the first may miss some. The delay is short enough that the
	// others are known before the first of them begin to watch the store.
	secondLookupDelay = 500 * time.Millisecond
	// lookupRetryDelay is the pause after a lookup or a registration that failed.
	lookupRetryDelay = 2 * time.Second
	// minHeardShare is the share of known entries from which gossip must have arrived
	// for a stale list to suffice. It is less than 1 because entries that have left
	// may still be listed.
	minHeardShare = 0.5
	// registrationSpread is the time over which the entries register again after a restore
	// of the store.
	registrationSpread = time.Second
)

// entryRecord is the record with which an entry registers itself in the store.
type entryRecord struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// discoverPeers registers this entry in the store, again in each era of the store, and looks
// up the others until ctx ends. The first lookup reads a stale list, which is cheap, and the second a fresh one.
// Later lookups read a fresh list only if gossip arrives from few of the known entries.
func (g *Gateway) discoverPeers(ctx context.Context) {
	registeredEra := uint64(0)
	for lookups := 0; ctx.Err() == nil; lookups++ {
		if registeredEra < g.storeEra() {
			registeredEra = g.registerEntry(ctx)
		}
		listEntries := g.objects.ListStale
		if lookups == 1 || lookups > 1 && !g.heardFromMost() {
			// Of two entries that start together, the one that registers later finds the
			// other one in a fresh list.
			listEntries = g.objects.List
		}
		list, err := listEntries(ctx, platform.KindEntries)
		g.setDependencyError("store."+platform.KindEntries, err)
		if err != nil || registeredEra == 0 {
			sleep(ctx, lookupRetryDelay)
			continue
		}
		g.addEntries(list.Items)
		wait := secondLookupDelay
		if lookups > 0 {
			wait += discoveryInterval
		}
		g.awaitRestore(ctx, wait)
	}
}

// awaitRestore waits for d, or until the store has been restored.
func (g *Gateway) awaitRestore(ctx context.Context, d time.Duration) {
	if await(ctx, d, g.storeRestored) {
		sleep(ctx, rand.N(registrationSpread))
	}
}

// addEntries adds the entries of a list from the store as peers.
func (g *Gateway) addEntries(list []objects.Record) {
	for _, rec := range list {
		var e entryRecord
		if err := json.Unmarshal(rec.Value, &e); err != nil {
			g.log.Warn("invalid entry record", "entry", rec.Name, "err", err)
			continue
		}
		g.addPeer(rec.Name, e.Address, e.Zone)
	}
}

// heardFromMost reports whether gossip has arrived from at least minHeardShare of the
// known entries.
func (g *Gateway) heardFromMost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := g.countHeardPeers()
	return heard > 0 && float64(heard) >= minHeardShare*float64(len(g.peers))
}

// registerEntry writes this entry's record to the store, replacing one of an earlier
// process. It returns the era of the store in which it did so, or 0 if it failed.
func (g *Gateway) registerEntry(ctx context.Context) uint64 {
	value := entryRecord{Address: g.gossip.LocalAddr().String(), Zone: g.settings.Zone}
	rec, err := g.objects.Create(ctx, platform.KindEntries, g.settings.Name, value)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		rec, err = g.objects.Replace(ctx, platform.KindEntries, g.settings.Name, 0, value)
	}
	if err != nil {
		g.log.Warn("entry registration failed", "err", err)
		return 0
	}
	g.log.Info("entry registered", "era", rec.Era)
	return rec.Era
}

// addPeer adds a peer, or updates the address of a known one. It ignores this entry
// itself.
func (g *Gateway) addPeer(name, address, zone string) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || name == g.settings.Name {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	if p == nil {
		p = &peer{lastHeard: time.Now(), region: g.settings.Regions[zone]}
		g.peers[name] = p
		g.quota.SetPeerCount(len(g.peers))
	}
	p.address = udp
}
