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

// How many upstreams of a group one decision looks at. Groups up to the small
// size are looked at as a whole.
const (
	smallGroup    = 8
	ringChoices   = 2
	randomChoices = 2
	// ringSteps bounds the walk past upstreams that take no new work.
	ringSteps = 32
)

// Virtual nodes that a group has on its ring, and the bounds for one upstream.
const (
	ringNodes    = 1024
	minRingNodes = 4
	maxRingNodes = 64
)

// index holds the upstreams of one selector, grouped so that a decision looks
// at a few of each group instead of all.
type index struct {
	all    []*Upstream
	groups []*group
	slots  int // of the upstreams that are not leaving
	// blocked says for each class up to when a search is known to find
	// nothing.
	blocked [len(classes)]blocked
}

var classes = [...]api.Class{api.ClassUrgent, api.ClassInteractive, api.ClassPatient}

// blocked notes a search of all upstreams that found none: it need not be
// repeated while the table's version is the same and no pause has ended.
type blocked struct {
	version uint64
	until   time.Time
}

// group has the upstreams of one availability zone and price.
type group struct {
	members []*Upstream
	ring    []node
}

// node is a point of the hash ring.
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
	each := min(max(ringNodes/len(g.members), minRingNodes), maxRingNodes)
	g.ring = make([]node, 0, each*len(g.members))
	for _, u := range g.members {
		h := xxhash.Sum64String(u.Name)
		for i := range each {
			g.ring = append(g.ring, node{mix(h + uint64(i)), u})
		}
	}
	slices.SortFunc(g.ring, func(a, b node) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.upstream.Name, b.upstream.Name))
	})
}

// mix spreads a number over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// search returns the first node at or after a hash. Hashes are spread evenly,
// so the place is a few steps from where its share of the range would be.
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

// narrow collects the candidates for a request: from each group the upstreams
// that the ring assigns to the prompt's prefix and a few at random, and the one
// that last took the same prefix.
func (t *Table) narrow(now time.Time, r *Request, x *index) []*Upstream {
	t.scratch = t.scratch[:0]
	t.picks++
	for i, g := range x.groups {
		seed := mix(r.Seed + uint64(i))
		if r.Prefix != 0 {
			t.addHomes(now, r, g)
		}
		n := min(len(g.members), randomChoices)
		if len(g.members) <= smallGroup {
			n = len(g.members)
			seed %= uint64(n)
		}
		for j := range n {
			at := (seed + uint64(j)) % uint64(len(g.members))
			if len(g.members) > smallGroup {
				at = mix(seed+uint64(j)) % uint64(len(g.members))
			}
			t.add(g.members[at], AffinityNone)
		}
	}
	if last := t.recent.upstream(r.Prefix); last != nil && slices.Contains(last.services, x) {
		t.add(last, AffinityNone)
	}
	return t.scratch
}

// addHomes adds the first upstreams on the ring that take new work.
func (t *Table) addHomes(now time.Time, r *Request, g *group) {
	start := g.search(mix(r.Prefix))
	rank := AffinityFirst
	for i := range min(len(g.ring), ringSteps) {
		u := g.ring[(start+i)%len(g.ring)].upstream
		if u.seen == t.picks || u.Leaving || now.Before(u.SuspectUntil) {
			continue
		}
		t.add(u, rank)
		if rank--; rank <= AffinityNone {
			return
		}
	}
}

// add makes an upstream a candidate of the current decision, once.
func (t *Table) add(u *Upstream, a Affinity) {
	if u.seen == t.picks {
		return
	}
	u.seen = t.picks
	u.Affinity = a
	t.scratch = append(t.scratch, u)
}
