package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// pendingProbe is a probe whose result is not known yet.
type pendingProbe struct {
	target     Member
	unanswered int // number of helpers that have not reported yet
}

// Step processes an event and returns the actions that the driver must perform.
func (c *Core) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case RoundEvent:
		return c.startRound(now, ev)
	case ReceivedEvent:
		out := c.receive(now, ev.Message)
		return append(out, ReplyAction{Message: c.nextMessage(ev.Message.From.Name)})
	case ProbeReplyEvent:
		delete(c.pendingProbes, ev.Sequence)
		return c.receive(now, ev.Message)
	case ProbeFailedEvent:
		return c.probeFailed(now, ev)
	case IndirectProbeResultEvent:
		return c.helperAnswered(now, ev)
	case SyncedEvent:
		var out []Action
		for _, m := range ev.Members {
			out = append(out, c.applyUpdate(now, m)...)
		}
		c.countSyncedAsSent(ev.Members)
		return out
	case SeedsEvent:
		c.seeds = slices.Clone(ev.Addresses)
		return nil
	case LeaveEvent:
		return c.leave(ev)
	}
	panic(fmt.Sprintf("membership: unknown event %T", ev))
}

// startRound probes one member, a further one if a zone is suspected to have
// failed, and an address at which no live member is known, either periodically
// or because there is no live member at all.
func (c *Core) startRound(now time.Time, ev RoundEvent) []Action {
	c.compensateForPause(now)
	out := c.expire(now)
	random := rand.New(rand.NewPCG(ev.Random, uint64(c.rounds)))
	c.rounds++
	live := len(c.names) > 0
	if target, ok := c.nextTarget(random); ok {
		out = append(out, c.startProbe(target))
	} else {
		live = false
	}
	if target, ok := c.suspectZoneTarget(random); ok {
		out = append(out, c.startProbe(target))
	}
	if !live || c.rounds%reconnectEvery == 0 {
		out = append(out, c.reconnect(random)...)
	}
	return out
}

// nextTarget chooses the member to probe in this round. If the preferred
// rotation has no live member, it falls back to the other one.
func (c *Core) nextTarget(random *rand.Rand) (Member, bool) {
	first, second := &c.sameZone, &c.otherZones
	if c.rounds%crossZoneEvery == 0 {
		first, second = second, first
	}
	for _, r := range []*rotation{first, second} {
		otherZones := r == &c.otherZones
		if m, ok := r.next(c, random, otherZones); ok {
			return m, true
		}
	}
	return Member{}, false
}

// rotation visits members in random order, each once per cycle.
type rotation struct {
	names []string
	pos   int
}

// next returns the next live member. At the end of a cycle, it starts a new one
// with the live members of the other zones or of this entry's zone.
func (r *rotation) next(c *Core, random *rand.Rand, otherZones bool) (Member, bool) {
	for range 2 {
		for ; r.pos < len(r.names); r.pos++ {
			e := c.members[r.names[r.pos]]
			if e != nil && e.Live() {
				r.pos++
				return e.Member, true
			}
		}
		r.names, r.pos = r.names[:0], 0
		for _, name := range c.names {
			e := c.members[name]
			if e.Live() && (e.AvailabilityZone != c.self.AvailabilityZone) == otherZones {
				r.names = append(r.names, name)
			}
		}
		random.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	return Member{}, false
}

// suspectZoneTarget chooses an additional member to probe in any other zone that
// has a suspect, so that the failure of a whole zone is detected quickly.
func (c *Core) suspectZoneTarget(random *rand.Rand) (Member, bool) {
	zones := map[string]bool{}
	for _, e := range c.members {
		if e.State == Suspect && e.AvailabilityZone != c.self.AvailabilityZone {
			zones[e.AvailabilityZone] = true
		}
	}
	if len(zones) == 0 {
		return Member{}, false
	}
	var list []Member
	for _, name := range c.names {
		if e := c.members[name]; e.State == Alive && zones[e.AvailabilityZone] {
			list = append(list, e.Member)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[random.IntN(len(list))], true
}

// startProbe records a pending probe of the target and returns its action.
func (c *Core) startProbe(target Member) Action {
	c.sequence++
	c.pendingProbes[c.sequence] = &pendingProbe{target: target}
	return ProbeAction{Sequence: c.sequence, Address: target.Address, Message: c.nextMessage(target.Name)}
}

// reconnect probes one address at which no live member is known: a seed or the
// address of a dead member.
func (c *Core) reconnect(random *rand.Rand) []Action {
	var addresses []string
	used := map[string]bool{c.self.Address: true}
	for _, e := range c.members {
		if e.Live() {
			used[e.Address] = true
		}
	}
	for _, a := range c.seeds {
		if !used[a] {
			addresses = append(addresses, a)
		}
	}
	for _, name := range c.names {
		if e := c.members[name]; e.State == Dead && !used[e.Address] {
			addresses = append(addresses, e.Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []Action{c.startProbe(Member{Address: addresses[random.IntN(len(addresses))]})}
}

// receive processes a message, either a probe or the reply to one. If the digests
// differ afterwards, it starts an exchange of whole tables when the sender has
// just joined, when neither side has updates left to send, or when this entry has
// too many queued.
func (c *Core) receive(now time.Time, m Message) []Action {
	if m.From.Name == "" || m.From.Name == c.self.Name {
		return nil
	}
	before, known := c.Get(m.From.Name)
	out := c.applyUpdate(now, m.From)
	for _, u := range m.Updates {
		out = append(out, c.applyUpdate(now, u)...)
	}
	joined := !known || !before.Live()
	idle := !m.Pending && len(m.Updates) == 0 && len(c.updates) == 0
	backlog := len(c.updates) > backlogMessages*c.opts.MaxUpdates
	if m.Digest == c.Digest() {
		c.countAgreedAsSent()
		return out
	}
	if m.From.State == Left {
		return out
	}
	if joined || ((idle || backlog) && now.Sub(c.lastSync) >= c.opts.MinSyncInterval) {
		c.lastSync = now
		out = append(out, SyncAction{Address: m.From.Address})
	}
	return out
}

// probeFailed asks helpers to repeat a failed probe. Without helpers, the target
// becomes suspect at once.
func (c *Core) probeFailed(now time.Time, ev ProbeFailedEvent) []Action {
	p := c.pendingProbes[ev.Sequence]
	if p == nil {
		return nil
	}
	if p.target.Name == "" {
		delete(c.pendingProbes, ev.Sequence)
		return nil
	}
	var out []Action
	for _, h := range c.chooseHelpers(p.target, rand.New(rand.NewPCG(ev.Random, ev.Sequence))) {
		out = append(out, IndirectProbeAction{Sequence: ev.Sequence, Helper: h, Target: p.target})
	}
	if len(out) == 0 {
		delete(c.pendingProbes, ev.Sequence)
		return c.markSuspect(now, p.target.Name, p.target.Incarnation)
	}
	p.unanswered = len(out)
	return out
}

// chooseHelpers chooses helpers in turn from this entry's zone, the target's zone
// and the remaining zones, so that a partition between two zones alone does not
// make the target suspect.
func (c *Core) chooseHelpers(target Member, random *rand.Rand) []Member {
	var groups [3][]Member
	for _, name := range c.names {
		e := c.members[name]
		if e.State != Alive || name == target.Name {
			continue
		}
		g := 2
		switch e.AvailabilityZone {
		case c.self.AvailabilityZone:
			g = 0
		case target.AvailabilityZone:
			g = 1
		}
		groups[g] = append(groups[g], e.Member)
	}
	for _, g := range groups {
		random.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
	}
	var out []Member
	for i := 0; len(out) < c.opts.IndirectProbes; i++ {
		before := len(out)
		for _, g := range groups {
			if i < len(g) && len(out) < c.opts.IndirectProbes {
				out = append(out, g[i])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// helperAnswered marks the target suspect once all helpers have failed to reach
// it.
func (c *Core) helperAnswered(now time.Time, ev IndirectProbeResultEvent) []Action {
	p := c.pendingProbes[ev.Sequence]
	if p == nil {
		return nil
	}
	if ev.Reached {
		delete(c.pendingProbes, ev.Sequence)
		return nil
	}
	p.unanswered--
	if p.unanswered > 0 {
		return nil
	}
	delete(c.pendingProbes, ev.Sequence)
	return c.markSuspect(now, p.target.Name, p.target.Incarnation)
}

// leave updates this entry's own record and queues it for sending.
func (c *Core) leave(ev LeaveEvent) []Action {
	if ev.Stopped {
		c.self.State = Left
	} else if !c.self.Leaving {
		c.self.Leaving = true
		c.self.Incarnation++
	}
	c.enqueue(c.self)
	return nil
}
