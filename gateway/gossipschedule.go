package gateway

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// Parameters of the gossip schedule: which peers are sent which parts of the state, and
// when.
const (
	// farRoundInterval is the number of rounds between two messages to other regions,
	// whose links are slow and billed.
	farRoundInterval = 2
	// gossipFanout limits the peers to which a round sends, in the region and in other
	// regions each; the next rounds continue with the others. Entries that watch the
	// store send to watcherFanout peers.
	gossipFanout  = 16
	watcherFanout = 32
	// maxStartOffset is the number of different rounds at which an entry may start its
	// schedule.
	maxStartOffset = 1000
	// smallFleet is the number of peers up to which every message carries all parts.
	smallFleet = 24
	// totalsInterval is the time within which the totals must reach all peers, so that
	// allowances hold while a customer sends many times its usual traffic.
	// freshTotalsBudget is what that may take in bytes per second. A fleet in which it
	// would take more divides each allowance into shares per entry, for which
	// lateTotalsBudget is enough.
	totalsInterval    = 1200 * time.Millisecond
	freshTotalsBudget = 25_000
	lateTotalsBudget  = 4_000
	// newsFanout is the number of random peers that are sent news of crashes and limits at
	// once. They forward it, so that all entries have it within a few hops.
	newsFanout = 6
	// usageInterval is how often usage is sent in a large fleet.
	usageInterval = 800 * time.Millisecond
)

// peerList holds the addresses of the peers in this region (near) and in other regions
// (far).
type peerList struct {
	near, far []*net.UDPAddr
	// dutyCandidates are the peers that perform the duties or are among the next to do
	// so.
	dutyCandidates []*net.UDPAddr
}

func (p peerList) count() int { return len(p.near) + len(p.far) }

// gossipSchedule is the position of an entry in its gossip schedule.
type gossipSchedule struct {
	round             int
	near, far, totals rotation
	// totalsDue is the fraction of a target that remains from earlier rounds when totals
	// were sent. sinceUsage is the time since usage was last sent.
	totalsDue  float64
	sinceUsage time.Duration
	// loadsBytes and totalsBytes are the sizes of the last datagrams with loads and with
	// totals.
	loadsBytes, totalsBytes int
	rng                     *rand.Rand
}

func newGossipSchedule() *gossipSchedule {
	randomStart := func() rotation { return rotation{rand.IntN(maxStartOffset)} }
	return &gossipSchedule{
		round: rand.IntN(maxStartOffset), near: randomStart(), far: randomStart(), totals: randomStart(), rng: rand.New(rand.NewPCG(rand.Uint64(), 0)),
	}
}

// messageParts says which optional parts of an entry's state a message carries.
type messageParts struct{ loads, totals, usage, news, rollouts bool }

// allParts is what each message carries in a small fleet.
var allParts = messageParts{loads: true, totals: true, usage: true, news: true, rollouts: true}

// gossipSend is a message to be sent to a set of peers.
type gossipSend struct {
	messageParts
	targets []*net.UDPAddr
}

// next returns the messages of a round. In a small fleet each message carries everything.
// In a large one, loads are sent to a different part of the peers each round, totals to
// all peers within totalsCycleTime, and usage to the entries that report it or may soon
// have to.
func (t *gossipSchedule) next(peers peerList, fanout int, passed time.Duration) []gossipSend {
	targets := t.near.next(peers.near, fanout)
	if t.round%farRoundInterval == 0 {
		targets = append(targets, t.far.next(peers.far, fanout)...)
	}
	t.round++
	if peers.count() <= smallFleet {
		return []gossipSend{{allParts, targets}}
	}
	sends := []gossipSend{{messageParts{loads: true}, targets}}
	t.totalsDue += float64(peers.count()) * passed.Seconds() / t.totalsCycleTime(peers).Seconds()
	n := int(t.totalsDue)
	t.totalsDue -= float64(n)
	sends = append(sends, gossipSend{messageParts{totals: true}, t.totals.next(slices.Concat(peers.near, peers.far), n)})
	if t.sinceUsage += passed; t.sinceUsage >= usageInterval {
		t.sinceUsage = 0
		sends = append(sends, gossipSend{messageParts{usage: true}, peers.dutyCandidates})
	}
	return sends
}

// sample returns n random peers, or all if there are fewer.
func (p peerList) sample(rng *rand.Rand, n int) []*net.UDPAddr {
	all := slices.Concat(p.near, p.far)
	n = min(n, len(all))
	for i := range n {
		j := i + rng.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// totalsCycleTime returns how long it takes to send the totals to all peers.
func (t *gossipSchedule) totalsCycleTime(peers peerList) time.Duration {
	if peers.count() <= smallFleet {
		return farRoundInterval * minGossipInterval
	}
	bytes := time.Duration(peers.count() * max(t.totalsBytes, datagramOverhead))
	if fresh := bytes * time.Second / freshTotalsBudget; fresh <= totalsInterval {
		return totalsInterval
	}
	return bytes * time.Second / lateTotalsBudget
}

// roundsToReach returns the number of rounds in which a message is sent to that many
// entries.
func roundsToReach(entries int) int { return (entries + gossipFanout - 1) / gossipFanout }

// rotation is a round-robin position in a list.
type rotation struct{ last int }

func (r *rotation) next(list []*net.UDPAddr, n int) []*net.UDPAddr {
	n = min(n, len(list))
	out := make([]*net.UDPAddr, 0, n)
	for range n {
		r.last = (r.last + 1) % len(list)
		out = append(out, list[r.last])
	}
	return out
}
