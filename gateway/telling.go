package gateway

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// Whom a turn of words goes to, and what it has.
const (
	// farEvery is how many turns pass between words to other regions, whose link
	// is slow and paid for.
	farEvery = 2
	// tellFanout bounds the entries told at a time, in the region and beyond; the
	// others follow next. Entries that watch the store tell more of them.
	tellFanout    = 16
	watcherFanout = 32
	// phases is how many beginnings there are for the turns of an entry.
	phases = 1000
	// smallFleet is the number of other entries up to which each word has
	// everything.
	smallFleet = 24
	// totalsInterval is how long it may take to tell all others the totals, so that
	// allowances hold while a customer sends many times its usual, and freshBudget
	// what that may take in bytes a second. A fleet in which it takes more goes by
	// parts of allowances, for which lateBudget suffices.
	totalsInterval = 1200 * time.Millisecond
	freshBudget    = 25_000
	lateBudget     = 4_000
	// crashFanout is how many entries, drawn at random, hear at once of something new
	// about crashes. They tell it on, so that all know it within some rounds.
	crashFanout = 6
	// usageInterval is how often usage is told in a large fleet.
	usageInterval = 800 * time.Millisecond
)

// peerList is whom an entry may tell.
type peerList struct {
	near, far []*net.UDPAddr
	// duties does the duties, or would be among the next to do them.
	duties []*net.UDPAddr
}

func (p peerList) count() int { return len(p.near) + len(p.far) }

// telling is how far an entry has got with telling the others.
type telling struct {
	turn              int
	near, far, totals rotation
	// due is the part of a target of totals that is left over, sinceUsage how long
	// ago usage was told.
	due        float64
	sinceUsage time.Duration
	// lightBytes and totalsBytes are the sizes of the last such datagrams.
	lightBytes, totalsBytes int
	rng                     *rand.Rand
}

func newTelling() *telling {
	at := func() rotation { return rotation{rand.IntN(phases)} }
	return &telling{
		turn: rand.IntN(phases), near: at(), far: at(), totals: at(), rng: rand.New(rand.NewPCG(rand.Uint64(), 0)),
	}
}

// content is what a word has beside the state of its entry.
type content struct{ loads, totals, usage, crashes bool }

// everything is what words of small fleets have.
var everything = content{loads: true, totals: true, usage: true, crashes: true}

// sending is a word that goes to some entries.
type sending struct {
	content
	targets []*net.UDPAddr
}

// next returns the words of a turn. In a small fleet each word has everything. In
// a large one loads go to some entries in turn, totals to all others within
// totalsTime, and usage to those that report it or may have to soon.
func (t *telling) next(peers peerList, fanout int, passed time.Duration) []sending {
	targets := t.near.next(peers.near, fanout)
	if t.turn%farEvery == 0 {
		targets = append(targets, t.far.next(peers.far, fanout)...)
	}
	t.turn++
	if peers.count() <= smallFleet {
		return []sending{{everything, targets}}
	}
	out := []sending{{content{loads: true}, targets}}
	t.due += float64(peers.count()) * passed.Seconds() / t.totalsTime(peers).Seconds()
	n := int(t.due)
	t.due -= float64(n)
	out = append(out, sending{content{totals: true}, t.totals.next(slices.Concat(peers.near, peers.far), n)})
	if t.sinceUsage += passed; t.sinceUsage >= usageInterval {
		t.sinceUsage = 0
		out = append(out, sending{content{usage: true}, peers.duties})
	}
	return out
}

// draw returns some entries at random.
func (p peerList) draw(rng *rand.Rand, n int) []*net.UDPAddr {
	all := slices.Concat(p.near, p.far)
	n = min(n, len(all))
	for i := range n {
		j := i + rng.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// totalsTime is how long it takes to tell all others the totals.
func (t *telling) totalsTime(peers peerList) time.Duration {
	if peers.count() <= smallFleet {
		return farEvery * tellInterval
	}
	bytes := time.Duration(peers.count() * max(t.totalsBytes, datagramHeader))
	if fresh := bytes * time.Second / freshBudget; fresh <= totalsInterval {
		return totalsInterval
	}
	return bytes * time.Second / lateBudget
}

// rounds is how many turns it takes to tell a number of entries.
func rounds(entries int) int { return (entries + tellFanout - 1) / tellFanout }

// rotation goes through a list over several turns.
type rotation struct{ at int }

func (r *rotation) next(list []*net.UDPAddr, n int) []*net.UDPAddr {
	n = min(n, len(list))
	out := make([]*net.UDPAddr, 0, n)
	for range n {
		r.at = (r.at + 1) % len(list)
		out = append(out, list[r.at])
	}
	return out
}
