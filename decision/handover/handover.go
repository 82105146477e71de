// Package handover decides to which peers an entry that is leaving gives its
// requests, and which of them it keeps to the end. It does no I/O, reads no
// clock and draws no randomness.
package handover

import (
	"cmp"
	"slices"
	"time"

	"jaylink/decision/rendezvous"
)

// Peer is another entry that may take a request.
type Peer struct {
	Name   string
	Zone   string
	Region string
	// Leaving says that the peer accepts nothing new, or that its host is
	// being reclaimed.
	Leaving bool
}

// Place is where an entry runs.
type Place struct {
	Zone   string
	Region string
}

// Candidates returns the peers that may take a request, best first: those of
// the own availability zone, then those of other zones of the region, then
// those of other regions. Within each group the order is that of the
// rendezvous hash of the request ID, so that every entry finds the same peers
// without being told.
func Candidates(id string, from Place, peers []Peer) []Peer {
	staying := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Leaving })
	out := ranked(id, staying)
	slices.SortStableFunc(out, func(a, b Peer) int {
		return cmp.Compare(distance(from, a), distance(from, b))
	})
	return out
}

// Holders returns the two peers that get a copy of a request: the primary, and
// a backup in another availability zone where there is one. The order is that
// in which they take over. It returns fewer where there are fewer peers.
func Holders(id string, from Place, peers []Peer) []Peer {
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

// Spans reports whether a holder is in another region than the owner, so that
// its copy has to cross the link between regions.
func Spans(from Place, holders []Peer) bool {
	return slices.ContainsFunc(holders, func(p Peer) bool { return p.Region != from.Region })
}

// Near returns the peers of the owner's region. Where the link has no room, the
// backup is rather in the availability zone of the primary than in another
// region.
func Near(from Place, peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Region != from.Region })
}

// Valid reports whether the holders of a request, by name, can be left as they
// are: all of them stay, and there are two or no more peers.
func Valid(holders []string, peers []Peer) bool {
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

// perZone is the number of peers of each availability zone that are asked for a
// request. More than one, because the peer with the highest weight may have
// been leaving when the request was handed over.
const perZone = 3

// Lookup returns the peers to ask for a request that is not here: the entry
// that accepted it, and those of each availability zone with the highest
// weights.
func Lookup(id, accepting string, peers []Peer) []Peer {
	zones := map[string]int{}
	var out []Peer
	for _, p := range ranked(id, peers) {
		if p.Name != accepting && zones[p.Zone] >= perZone {
			continue
		}
		zones[p.Zone]++
		out = append(out, p)
	}
	return out
}

func distance(from Place, p Peer) int {
	switch {
	case p.Zone == from.Zone:
		return 0
	case p.Region == from.Region:
		return 1
	}
	return 2
}

// ranked returns the peers by falling rendezvous weight for the request.
func ranked(id string, peers []Peer) []Peer {
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

// Epoch returns the ownership epoch under which the holder of a rank, 0 for
// the primary, takes over from the owner of an epoch. Two holders never take
// over under the same epoch.
func Epoch(owner uint64, rank int) uint64 { return owner + 1 + uint64(rank) }

// Progress is how far a request has come.
type Progress struct {
	// Dispatched says that an attempt is running.
	Dispatched bool
	// Running is how long it has been running.
	Running time.Duration
	// Generated and Left count tokens of the answer; Left is 0 if unknown.
	Generated int
	Left      int
}

// reserve is the time that the handover itself is given before the deadline.
const reserve = 2 * time.Second

// Keep reports whether a request is kept because it ends before the entry has
// to stop, left from now. A request that no upstream has is handed over at
// once, because nothing is lost with it.
func Keep(left time.Duration, p Progress) bool {
	if !p.Dispatched {
		return false
	}
	left -= min(reserve, left/2)
	if p.Generated == 0 || p.Left == 0 {
		return left > reserve
	}
	rest := p.Running / time.Duration(p.Generated) * time.Duration(p.Left)
	return rest < left
}
