package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// queuedUpdate is a member record that is still being disseminated.
type queuedUpdate struct {
	Member
	timesSent int
}

// enqueue queues a record for sending, replacing any older one of the member.
func (c *Core) enqueue(m Member) { c.updates[m.Name] = &queuedUpdate{Member: m} }

// countSyncedAsSent counts half of the transmissions of each update received in
// a whole table as done, because other members have these updates already.
func (c *Core) countSyncedAsSent(members []Member) {
	for _, m := range members {
		if u := c.updates[m.Name]; u != nil && u.Member == m {
			u.timesSent = max(u.timesSent, c.retransmitLimit()/2)
		}
	}
}

// countAgreedAsSent counts one transmission of each queued update, because a
// member with the same digest has them. Suspicions are excluded: the digest does
// not distinguish suspects from alive members.
func (c *Core) countAgreedAsSent() {
	limit := c.retransmitLimit()
	for name, u := range c.updates {
		if u.State == Suspect {
			continue
		}
		u.timesSent++
		if u.timesSent >= limit {
			delete(c.updates, name)
		}
	}
}

// retransmitLimit returns how many times an update is sent.
func (c *Core) retransmitLimit() int { return retransmitMult * bits.Len(uint(len(c.names)+1)) }

// MessageWithoutUpdates returns a message without updates, for a probe outside
// the rounds. The reply is passed in as a ProbeReplyEvent with sequence number 0.
func (c *Core) MessageWithoutUpdates() Message {
	return Message{From: c.self, Digest: c.Digest(), Pending: len(c.updates) > 0}
}

// nextMessage returns the next message to a member. If this entry's record of
// the receiver is not alive, it comes first, so that the receiver can refute it.
// The updates sent the fewest times follow.
func (c *Core) nextMessage(to string) Message {
	m := Message{From: c.self, Digest: c.Digest()}
	if e := c.members[to]; e != nil && e.State != Alive {
		m.Updates = append(m.Updates, e.Member)
	}
	limit := c.retransmitLimit()
	for _, u := range c.leastSent(c.opts.MaxUpdates - len(m.Updates)) {
		if u.Name != to && u.Name != c.self.Name {
			m.Updates = append(m.Updates, u.Member)
		}
		u.timesSent++
		if u.timesSent >= limit {
			delete(c.updates, u.Name)
		}
	}
	m.Pending = len(c.updates) > 0
	return m
}

// leastSent returns up to n queued updates, those sent the fewest times first.
func (c *Core) leastSent(n int) []*queuedUpdate {
	list := make([]*queuedUpdate, 0, len(c.updates))
	for _, u := range c.updates {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(n, len(list))]
}
