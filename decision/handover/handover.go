// Package handover decides which peers take over the requests of an entry that
// is leaving, and which requests the entry keeps until they end. It does no
// I/O, reads no clock and uses no randomness.
package handover

import (
	"cmp"
	"slices"
	"time"

	"jaylink/decision/rendezvous"
)

// Peer is another entry that may take over a request.
type Peer struct {
	Name   string
	Zone   string
	Region string
	// Leaving is set if the peer accepts no new requests, or if its host is
	// being reclaimed.
	Leaving bool
}

// Location is the location of an entry.
type Location struct {
	Zone   string
	Region string
}

// Candidates returns the peers that may take over a request, best first: those
// in the same availability zone, then those in other zones of the region, then
// those in other regions. Within each group they are ordered by the rendezvous
// hash of the request ID, so that every entry finds the same peers without
// coordination.
func Candidates(id string, from Location, peers []Peer) []Peer {
	staying := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Leaving })
	out := rankPeers(id, staying)
	slices.SortStableFunc(out, func(a, b Peer) int {
		return cmp.Compare(distance(from, a), distance(from, b))
	})
	return out
}

// Holders returns the two peers that get a copy of a request, in the order in
// which they take it over: a primary, and a backup, in another availability
// zone if possible. It returns fewer if there are fewer peers.
func Holders(id string, from Location, peers []Peer) []Peer {
	order := Candidates(id, from, peers)
	if len(order) < 2 {
		return order
	}
	backup := order[1]
	for _, p := range order[1:] {
		if p.Zone != order[0].Zone {
			backup = p
			break
		}
	}
	return []Peer{order[0], backup}
}

// CrossesRegions reports whether a holder is in another region than the owner, so
// that its copy uses the link between regions.
func CrossesRegions(from Location, holders []Peer) bool {
	return slices.ContainsFunc(holders, func(p Peer) bool { return p.Region != from.Region })
}

// SameRegion returns the peers in the owner's region. If the link between regions
// has no capacity, a backup in the availability zone of the primary is preferred
// to one in another region.
func SameRegion(from Location, peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Region != from.Region })
}

// HoldersValid reports whether a request can keep its holders, given by name:
// none of them is leaving, and there are two of them, or one if only one peer is
// staying.
func HoldersValid(holders []string, peers []Peer) bool {
	staying := 0
	for _, p := range peers {
		if p.Leaving && slices.Contains(holders, p.Name) {
			return false
		}
		if !p.Leaving {
			staying++
		}
	}
	return len(holders) > 0 && len(holders) >= min(staying, 2)
}

// lookupsPerZone is the number of peers in each availability zone that are
// asked for a request. One is not enough, because the peer with the highest
// weight may have been leaving when the request was handed over.
const lookupsPerZone = 3

// Lookup returns the peers to ask for a request that this entry does not have:
// the entry that accepted it, and those with the highest weights in each
// availability zone.
func Lookup(id, accepting string, peers []Peer) []Peer {
	zones := map[string]int{}
	var out []Peer
	for _, p := range rankPeers(id, peers) {
		if p.Name != accepting && zones[p.Zone] >= lookupsPerZone {
			continue
		}
		zones[p.Zone]++
		out = append(out, p)
	}
	return out
}

func distance(from Location, p Peer) int {
	switch {
	case p.Zone == from.Zone:
		return 0
	case p.Region == from.Region:
		return 1
	}
	return 2
}

// rankPeers returns the peers in descending order of their rendezvous weight
// for the request.
func rankPeers(id string, peers []Peer) []Peer {
	byName := make(map[string]Peer, len(peers))
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		byName[p.Name] = p
		names = append(names, p.Name)
	}
	out := make([]Peer, 0, len(peers))
	for _, name := range rendezvous.Pick(id, names, len(names)) {
		out = append(out, byName[name])
	}
	return out
}

// Epoch returns the epoch in which a holder takes over from the owner of the
// given epoch. The rank is 0 for the primary, so no two holders take over in
// the same epoch.
func Epoch(owner uint64, rank int) uint64 { return owner + 1 + uint64(rank) }

// Progress is the state of a request on its upstream.
type Progress struct {
	// Dispatched is set if an attempt is running.
	Dispatched bool
	// Running is how long the attempt has been running.
	Running time.Duration
	// Generated and Left are the numbers of tokens of the answer so far and
	// still to come; Left is 0 if unknown.
	Generated int
	Left      int
}

// handoverTime is reserved for the handover itself before the entry stops.
const handoverTime = 2 * time.Second

// FinishesInTime reports whether the entry keeps a request because it should end
// before the entry stops, which is when left has passed. A request that is not on
// an upstream is handed over at once, because no work is lost.
func FinishesInTime(left time.Duration, p Progress) bool {
	if !p.Dispatched {
		return false
	}
	left -= min(handoverTime, left/2)
	if p.Generated == 0 || p.Left == 0 {
		return left > handoverTime
	}
	rest := p.Running / time.Duration(p.Generated) * time.Duration(p.Left)
	return rest < left
}
