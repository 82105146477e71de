package upstreamlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/rendezvous"
)

const (
	// idleWeight is the part of the mean demand that is added to every entry's demand.
	// Otherwise an entry without recent demand would have no share when its first request
	// arrives.
	idleWeight = 0.05
	// minWeight keeps the sum of the weights positive if no entry has any demand.
	minWeight = 1e-6
	// divisionLifetime is how long a division is used before it is computed again.
	divisionLifetime = 200 * time.Millisecond
	// silentTime is how long an entry keeps its share after its last message, or
	// silentCycles gossip cycles if that is longer. While most entries are silent it
	// keeps it for isolatedTime, because this entry is then more likely to be cut off
	// than the others are to have ended.
	silentTime   = 6 * time.Second
	silentCycles = 3
	isolatedTime = 20 * time.Second
)

// maxCandidates is the number of entries among which the owner of a permit is chosen by
// demand. It bounds the cost of a permit, and a demand that two entries see differently
// matters only for the permits for which its entry is a candidate.
const maxCandidates = 16

// slot is an entry on the ring, which has 2^64 positions. An entry's position is the hash
// of its name.
type slot struct {
	position uint64
	weight   float64
	own      bool
}

// division is how the entries divide the limits of a service's upstreams.
type division struct {
	// ring lists the entries by position.
	ring []slot
	// share is this entry's share.
	share float64
	at    time.Time
}

// owns reports whether a permit belongs to this entry. Its owner is chosen among the
// entries that follow the permit on the ring, by rendezvous hashing with the demands as
// weights.
func (d *division) owns(permit uint64) bool {
	first, _ := slices.BinarySearchFunc(d.ring, permit, func(s slot, p uint64) int { return cmp.Compare(s.position, p) })
	own, lowest := false, math.Inf(1)
	for i := range min(maxCandidates, len(d.ring)) {
		s := &d.ring[(first+i)%len(d.ring)]
		if score := -math.Log(fraction(rendezvous.Mix(permit^s.position))) / s.weight; score < lowest {
			own, lowest = s.own, score
		}
	}
	return own
}

// fraction maps a hash to the open interval from 0 to 1.
func fraction(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// member is another entry.
type member struct {
	// position is the hash of the name.
	position  uint64
	lastHeard time.Time
	// demand is the requests per second that the entry has received for each service, by
	// the service's key. It is nil if the entry does not tell.
	demand map[uint32]float64
}

// UpdatePeer processes a message of another entry with its demand, nil if the message
// does not have it.
func (l *Limits) UpdatePeer(now time.Time, name string, demand map[uint32]float64) {
	m := l.members[name]
	if m == nil {
		m = &member{position: xxhash.Sum64String(name)}
		l.members[name] = m
		l.orderMembers()
	}
	m.lastHeard = now
	if demand != nil {
		m.demand = demand
	}
}

// RemovePeer removes an entry that has left the fleet.
func (l *Limits) RemovePeer(name string) {
	delete(l.members, name)
	l.orderMembers()
}

// orderMembers sorts the members by position after one was added or removed.
func (l *Limits) orderMembers() {
	clear(l.divisions)
	l.ordered = slices.SortedFunc(maps.Values(l.members), func(a, b *member) int { return cmp.Compare(a.position, b.position) })
}

// SetFleet sets the number of other entries that are known to exist, and the time in
// which a message of each of them reaches all others.
func (l *Limits) SetFleet(peers int, cycle time.Duration) { l.expected, l.cycle = peers, cycle }

// activeMembers returns the other entries that have a share, by position.
func (l *Limits) activeMembers(now time.Time) []*member {
	limit := max(silentTime, silentCycles*l.cycle)
	active := l.heardWithin(now, limit)
	if 2*len(active) < len(l.members) {
		return l.heardWithin(now, max(isolatedTime, limit))
	}
	return active
}

func (l *Limits) heardWithin(now time.Time, limit time.Duration) []*member {
	list := make([]*member, 0, len(l.ordered))
	for _, m := range l.ordered {
		if now.Sub(m.lastHeard) <= limit {
			list = append(list, m)
		}
	}
	return list
}

// division returns how the limits of a service's upstreams are divided now.
func (l *Limits) division(now time.Time, service uint32) *division {
	if d := l.divisions[service]; d != nil && now.Sub(d.at).Abs() < divisionLifetime {
		return d
	}
	active := l.activeMembers(now)
	d := &division{at: now, ring: make([]slot, 0, len(active)+1)}
	mean := l.meanDemand(active, service)
	total, ownWeight := 0.0, 0.0
	add := func(position uint64, demand float64, own bool) {
		weight := demand + idleWeight*mean + minWeight
		if total += weight; own {
			ownWeight = weight
		}
		d.ring = append(d.ring, slot{position, weight, own})
	}
	self, added := xxhash.Sum64String(l.self), false
	for _, m := range active {
		if !added && self < m.position {
			add(self, l.announcedDemand(service), true)
			added = true
		}
		demand, told := m.demandFor(service)
		if !told {
			demand = mean
		}
		add(m.position, demand, false)
	}
	if !added {
		add(self, l.announcedDemand(service), true)
	}
	d.share = ownWeight / total
	l.divisions[service] = d
	return d
}

// meanDemand returns the mean demand of this entry and the members for a service, without
// the members that don't tell it.
func (l *Limits) meanDemand(members []*member, service uint32) float64 {
	sum, told := l.announcedDemand(service), 1
	for _, m := range members {
		if demand, ok := m.demandFor(service); ok {
			sum += demand
			told++
		}
	}
	return sum / float64(told)
}

// demandFor returns the demand of an entry for a service, and false if the entry does not
// tell it.
func (m *member) demandFor(service uint32) (float64, bool) {
	return m.demand[service], m.demand != nil
}
