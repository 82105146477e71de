package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// update is a change that is still being sent.
type update struct {
	Member
	sent int
}

// enqueue sends a change from now on; it replaces an older one of the member.
func (c *Core) enqueue(m Member) { c.updates[m.Name] = &update{Member: m} }

// ease sends what came with a whole table only half as often: others have it.
func (c *Core) ease(members []Member) {
	for _, m := range members {
		if u := c.updates[m.Name]; u != nil && u.Member == m {
			u.sent = max(u.sent, c.transmits()/2)
		}
	}
}

// agreed counts all updates but suspicions as sent: a member with the same
// digest knows them.
func (c *Core) agreed() {
	limit := c.transmits()
	for name, u := range c.updates {
		if u.State == Suspect {
			continue
		}
		u.sent++
		if u.sent >= limit {
			delete(c.updates, name)
		}
	}
}

// transmits is how often an update is sent.
func (c *Core) transmits() int { return transmitFactor * bits.Len(uint(len(c.names)+1)) }

// Greeting returns a message without updates, for a probe outside the rounds.
// Its answer is passed in as an AnsweredEvent of sequence 0.
func (c *Core) Greeting() Message {
	return Message{From: c.self, Digest: c.Digest(), Pending: len(c.updates) > 0}
}

// message returns what is sent to a member now. What the receiver should
// refute comes first, then the updates that were sent least often.
func (c *Core) message(to string) Message {
	m := Message{From: c.self, Digest: c.Digest()}
	if e := c.members[to]; e != nil && e.State != Alive {
		m.Updates = append(m.Updates, e.Member)
	}
	limit := c.transmits()
	for _, u := range c.leastSent(c.opts.MaxUpdates - len(m.Updates)) {
		if u.Name != to && u.Name != c.self.Name {
			m.Updates = append(m.Updates, u.Member)
		}
		u.sent++
		if u.sent >= limit {
			delete(c.updates, u.Name)
		}
	}
	m.Pending = len(c.updates) > 0
	return m
}

func (c *Core) leastSent(n int) []*update {
	list := make([]*update, 0, len(c.updates))
	for _, u := range c.updates {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *update) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(n, len(list))]
}
