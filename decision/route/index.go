package route

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/api"
)

// Number of upstreams of a group that one decision examines: ringChoices from the
// hash ring and randomChoices selected by the request's seed, or the whole group if
// it has at most smallGroupSize upstreams.
const (
	smallGroupSize = 8
	ringChoices    = 2
	randomChoices  = 2
	// maxRingSteps bounds the number of ring nodes visited while skipping
	// upstreams that take no new requests.
	maxRingSteps = 32
)

// Number of virtual nodes on the ring of a group, and bounds on the number for
// one upstream.
const (
	nodesPerGroup       = 1024
	minNodesPerUpstream = 4
	maxNodesPerUpstream = 64
)

// index holds the upstreams that match one selector. They are grouped so that a
// decision examines a few upstreams of each group instead of all of them.
type index struct {
	all    []*Upstream
	groups []*group
	slots  int // total over the upstreams that are not leaving
	// noneFree holds the latest unsuccessful search for each class.
	noneFree [len(classes)]negativeResult
}

var classes = [...]api.Class{api.ClassUrgent, api.ClassInteractive, api.ClassPatient}

// negativeResult records a search of all upstreams that found none free. The
// search need not be repeated while the table's version is unchanged and no
// upstream has stopped being suspect.
type negativeResult struct {
	version uint64
	until   time.Time
}

// group holds the upstreams with the same region, availability zone, price and
// number of slots.
type group struct {
	members []*Upstream
	ring    []node
}

// node is a virtual node on the hash ring.
type node struct {
	hash     uint64
	upstream *Upstream
}

func newIndex(all []*Upstream) *index {
	byKey := map[string]*group{}
	x := &index{all: all}
	for _, u := range all {
		key := fmt.Sprintf("%s|%s|%g|%d", u.Spec.Region, u.Spec.AvailabilityZone, u.Spec.PricePerHour, u.Slots())
		g := byKey[key]
		if g == nil {
			g = &group{}
			byKey[key] = g
			x.groups = append(x.groups, g)
		}
		g.members = append(g.members, u)
	}
	for _, g := range x.groups {
		g.buildRing()
	}
	x.countSlots()
	return x
}

func (x *index) countSlots() {
	x.slots = 0
	for _, u := range x.all {
		if !u.Leaving {
			x.slots += u.Slots()
		}
	}
}

func (g *group) buildRing() {
	perUpstream := min(max(nodesPerGroup/len(g.members), minNodesPerUpstream), maxNodesPerUpstream)
	g.ring = make([]node, 0, perUpstream*len(g.members))
	for _, u := range g.members {
		h := xxhash.Sum64String(u.Name)
		for i := range perUpstream {
			g.ring = append(g.ring, node{mix(h + uint64(i)), u})
		}
	}
	slices.SortFunc(g.ring, func(a, b node) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.upstream.Name, b.upstream.Name))
	})
}

// mix distributes the bits of a number over 64 bits. It is one step of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// search returns the index of the first node at or after a hash, or len(g.ring) if
// there is none. Hashes are uniformly distributed, so the search starts at the
// interpolated position, which is usually a few steps away.
func (g *group) search(hash uint64) int {
	n := len(g.ring)
	share, _ := bits.Mul64(hash, uint64(n))
	at := int(share)
	for at > 0 && g.ring[at-1].hash >= hash {
		at--
	}
	for at < n && g.ring[at].hash < hash {
		at++
	}
	return at
}

// sampleCandidates collects the candidates for a request: from each group the
// upstreams that the ring assigns to the prompt's prefix and a few selected by the
// request's seed, plus the upstream that the same prefix was last sent to.
func (t *Table) sampleCandidates(now time.Time, r *Request, x *index) []*Upstream {
	t.candidates = t.candidates[:0]
	t.decisions++
	for i, g := range x.groups {
		seed := mix(r.Seed + uint64(i))
		if r.Prefix != 0 {
			t.addRingCandidates(now, r, g)
		}
		n := min(len(g.members), randomChoices)
		if len(g.members) <= smallGroupSize {
			n = len(g.members)
			seed %= uint64(n)
		}
		for j := range n {
			at := (seed + uint64(j)) % uint64(len(g.members))
			if len(g.members) > smallGroupSize {
				at = mix(seed+uint64(j)) % uint64(len(g.members))
			}
			t.addCandidate(g.members[at], AffinityNone)
		}
	}
	if last := t.lastUpstreams.get(r.Prefix); last != nil && slices.Contains(last.indexes, x) {
		t.addCandidate(last, AffinityNone)
	}
	return t.candidates
}

// addRingCandidates adds the first ringChoices upstreams on the ring, starting at
// the prefix's hash, that take new requests.
func (t *Table) addRingCandidates(now time.Time, r *Request, g *group) {
	start := g.search(mix(r.Prefix))
	affinity := AffinityFirst
	for i := range min(len(g.ring), maxRingSteps) {
		u := g.ring[(start+i)%len(g.ring)].upstream
		if u.lastDecision == t.decisions || u.Leaving || now.Before(u.SuspectUntil) {
			continue
		}
		t.addCandidate(u, affinity)
		if affinity--; affinity <= AffinityNone {
			return
		}
	}
}

// addCandidate adds an upstream to the candidates of the current decision unless
// it is one already.
func (t *Table) addCandidate(u *Upstream, a Affinity) {
	if u.lastDecision == t.decisions {
		return
	}
	u.lastDecision = t.decisions
	u.Affinity = a
	t.candidates = append(t.candidates, u)
}
