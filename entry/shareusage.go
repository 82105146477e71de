package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jaylink/decision"
	"jaylink/peer"
	"jaylink/peer/peerpb"
)

const (
	// maxUsages bounds the customers in one message; the largest come first.
	maxUsages = 32
	// usageLife is how long what a peer said counts.
	usageLife = 15 * time.Second
)

// usageExchange tells other entries how many requests of each customer are in
// flight here, and takes what they say, for the limits of the whole fleet.
type usageExchange struct {
	own  func() map[string]int
	step func(decision.Event)

	mu    sync.Mutex
	heard map[string]time.Time
}

// Own implements peer.Usages.
func (x *usageExchange) Own() []*peerpb.Usage {
	var list []*peerpb.Usage
	for name, n := range x.own() {
		list = append(list, &peerpb.Usage{Customer: name, InFlight: uint32(n)})
	}
	slices.SortFunc(list, func(a, b *peerpb.Usage) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Customer, b.Customer))
	})
	return list[:min(len(list), maxUsages)]
}

// Take implements peer.Usages.
func (x *usageExchange) Take(from string, list []*peerpb.Usage) {
	x.mu.Lock()
	x.heard[from] = time.Now()
	x.mu.Unlock()
	counts := make(map[string]int, len(list))
	for _, u := range list[:min(len(list), maxUsages)] {
		counts[u.Customer] = int(u.InFlight)
	}
	x.step(decision.UsageEvent{Peer: from, InFlight: counts})
}

// expire forgets peers that have said nothing for a while.
func (x *usageExchange) expire(now time.Time) {
	var gone []string
	x.mu.Lock()
	for name, at := range x.heard {
		if now.Sub(at) > usageLife {
			gone = append(gone, name)
			delete(x.heard, name)
		}
	}
	x.mu.Unlock()
	slices.Sort(gone)
	for _, name := range gone {
		x.step(decision.UsageEvent{Peer: name})
	}
}

var _ peer.Usages = (*usageExchange)(nil)
