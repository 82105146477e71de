package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"jaylink/objects"
	"jaylink/platform"
)

// Times of looking for the other entries.
const (
	// findInterval is how often entries that never spoke are looked for.
	findInterval = 30 * time.Second
	// findAgain repeats the first look, because all entries start together, before
	// the first of them begin to watch the store; findSoon is the pause after a look
	// that failed.
	findAgain = 500 * time.Millisecond
	findSoon  = 2 * time.Second
	// findHeard is the part of the listed entries that must have spoken for a stale
	// list to do; a listed entry that has left does not speak.
	findHeard = 0.5
)

// entryRecord is what an entry writes to the store at its start.
type entryRecord struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// findPeers makes this entry known in the store and looks up the others: at once in a
// stale list, which is cheap, then in a fresh one, and later in a fresh one only if
// few of the listed ones speak.
func (g *Gateway) findPeers(ctx context.Context) {
	registered := false
	for looked := 0; ctx.Err() == nil; looked++ {
		registered = registered || g.register(ctx)
		look := g.objects.ListStale
		if looked == 1 || looked > 1 && !g.heardMost() {
			// Of two entries that start together, the later one finds the other.
			look = g.objects.List
		}
		list, err := look(ctx, platform.KindEntries)
		g.setLost("store."+platform.KindEntries, err)
		if err != nil || !registered {
			sleep(ctx, findSoon)
			continue
		}
		g.takeEntries(list.Items)
		sleep(ctx, findAgain)
		if looked > 0 {
			sleep(ctx, findInterval)
		}
	}
}

// takeEntries notes the entries that stand in the store.
func (g *Gateway) takeEntries(list []objects.Record) {
	for _, rec := range list {
		var e entryRecord
		if err := json.Unmarshal(rec.Value, &e); err != nil {
			g.log.Warn("entry record can't be read", "entry", rec.Name, "err", err)
			continue
		}
		g.addPeer(rec.Name, e.Address, e.Zone)
	}
}

// heardMost reports whether most of the known entries have spoken.
func (g *Gateway) heardMost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	spoke := g.spoke()
	return spoke > 0 && float64(spoke) >= findHeard*float64(len(g.peers))
}

func (g *Gateway) register(ctx context.Context) bool {
	value := entryRecord{Address: g.gossip.LocalAddr().String(), Zone: g.settings.Zone}
	_, err := g.objects.Create(ctx, platform.KindEntries, g.settings.Name, value)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		_, err = g.objects.Replace(ctx, platform.KindEntries, g.settings.Name, 0, value)
	}
	if err != nil {
		g.log.Warn("entry not registered yet", "err", err)
	}
	return err == nil
}

func (g *Gateway) addPeer(name, address, zone string) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || name == g.settings.Name {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	if p == nil {
		p = &peer{heard: time.Now(), region: g.settings.Regions[zone]}
		g.peers[name] = p
		g.quota.Expect(len(g.peers))
	}
	p.address = udp
}
