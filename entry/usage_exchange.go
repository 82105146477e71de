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
	// maxUsages bounds the customers in one message; those with the most
	// requests in flight come first.
	maxUsages = 32
	// usageTTL is how long the last report of a peer is used.
	usageTTL = 15 * time.Second
)

// usageExchange exchanges the number of requests in flight per customer with
// other entries, for the limits that apply to the whole fleet.
type usageExchange struct {
	own  func() map[string]int
	step func(decision.Event)

	mu         sync.Mutex
	lastReport map[string]time.Time
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

// SetPeer implements peer.Usages.
func (x *usageExchange) SetPeer(from string, list []*peerpb.Usage) {
	x.mu.Lock()
	x.lastReport[from] = time.Now()
	x.mu.Unlock()
	counts := make(map[string]int, len(list))
	for _, u := range list[:min(len(list), maxUsages)] {
		counts[u.Customer] = int(u.InFlight)
	}
	x.step(decision.UsageEvent{Peer: from, InFlight: counts})
}

// expire drops the numbers of peers whose last report is older than usageTTL.
func (x *usageExchange) expire(now time.Time) {
	var expired []string
	x.mu.Lock()
	for name, at := range x.lastReport {
		if now.Sub(at) > usageTTL {
			expired = append(expired, name)
			delete(x.lastReport, name)
		}
	}
	x.mu.Unlock()
	slices.Sort(expired)
	for _, name := range expired {
		x.step(decision.UsageEvent{Peer: name})
	}
}

var _ peer.Usages = (*usageExchange)(nil)
