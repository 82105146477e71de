package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// probe is a probe without an outcome so far.
type probe struct {
	target  Member
	helpers int // that have not answered
}

// Step takes one event and returns the actions that it leads to.
func (c *Core) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case RoundEvent:
		return c.round(now, ev)
	case ReceivedEvent:
		out := c.receive(now, ev.Message)
		return append(out, ReplyAction{Message: c.message(ev.Message.From.Name)})
	case AnsweredEvent:
		delete(c.probes, ev.Sequence)
		return c.receive(now, ev.Message)
	case FailedEvent:
		return c.failed(now, ev)
	case HelpedEvent:
		return c.helped(now, ev)
	case SyncedEvent:
		var out []Action
		for _, m := range ev.Members {
			out = append(out, c.take(now, m)...)
		}
		c.ease(ev.Members)
		return out
	case SeedsEvent:
		c.seeds = slices.Clone(ev.Addresses)
		return nil
	case LeaveEvent:
		return c.leave(ev)
	}
	panic(fmt.Sprintf("membership: unknown event %T", ev))
}

// round probes one member and, now and then, one that is not reachable.
func (c *Core) round(now time.Time, ev RoundEvent) []Action {
	c.resumed(now)
	out := c.expire(now)
	random := rand.New(rand.NewPCG(ev.Random, uint64(c.rounds)))
	c.rounds++
	live := len(c.names) > 0
	if target, ok := c.target(random); ok {
		out = append(out, c.probe(target))
	} else {
		live = false
	}
	if target, ok := c.doubted(random); ok {
		out = append(out, c.probe(target))
	}
	if !live || c.rounds%reconnectRounds == 0 {
		out = append(out, c.reconnect(random)...)
	}
	return out
}

// target chooses the member of this round.
func (c *Core) target(random *rand.Rand) (Member, bool) {
	first, second := &c.local, &c.foreign
	if c.rounds%foreignRounds == 0 {
		first, second = second, first
	}
	for _, r := range []*rotation{first, second} {
		foreign := r == &c.foreign
		if m, ok := r.next(c, random, foreign); ok {
			return m, true
		}
	}
	return Member{}, false
}

// rotation visits members in a random order, each once before any again.
type rotation struct {
	names []string
	at    int
}

func (r *rotation) next(c *Core, random *rand.Rand, foreign bool) (Member, bool) {
	for range 2 {
		for ; r.at < len(r.names); r.at++ {
			e := c.members[r.names[r.at]]
			if e != nil && e.Live() {
				r.at++
				return e.Member, true
			}
		}
		r.names, r.at = r.names[:0], 0
		for _, name := range c.names {
			e := c.members[name]
			if e.Live() && (e.AvailabilityZone != c.self.AvailabilityZone) == foreign {
				r.names = append(r.names, name)
			}
		}
		random.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	return Member{}, false
}

// doubted chooses a further member of another zone while one of that zone is
// suspect, so that the loss of a whole zone is seen soon.
func (c *Core) doubted(random *rand.Rand) (Member, bool) {
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

func (c *Core) probe(target Member) Action {
	c.sequence++
	c.probes[c.sequence] = &probe{target: target}
	return ProbeAction{Sequence: c.sequence, Address: target.Address, Message: c.message(target.Name)}
}

// reconnect tries one address at which no live member is known.
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
	return []Action{c.probe(Member{Address: addresses[random.IntN(len(addresses))]})}
}

// receive takes a message, whoever began the exchange.
func (c *Core) receive(now time.Time, m Message) []Action {
	if m.From.Name == "" || m.From.Name == c.self.Name {
		return nil
	}
	before, known := c.Get(m.From.Name)
	out := c.take(now, m.From)
	for _, u := range m.Updates {
		out = append(out, c.take(now, u)...)
	}
	joined := !known || !before.Live()
	quiet := !m.Pending && len(m.Updates) == 0 && len(c.updates) == 0
	backlog := len(c.updates) > backlogMessages*c.opts.MaxUpdates
	if m.Digest == c.Digest() {
		c.agreed()
		return out
	}
	if m.From.State == Left {
		return out
	}
	if joined || ((quiet || backlog) && now.Sub(c.synced) >= c.opts.SyncPause) {
		c.synced = now
		out = append(out, SyncAction{Address: m.From.Address})
	}
	return out
}

// failed asks helpers to repeat a probe.
func (c *Core) failed(now time.Time, ev FailedEvent) []Action {
	p := c.probes[ev.Sequence]
	if p == nil {
		return nil
	}
	if p.target.Name == "" {
		delete(c.probes, ev.Sequence)
		return nil
	}
	var out []Action
	for _, h := range c.helpers(p.target, rand.New(rand.NewPCG(ev.Random, ev.Sequence))) {
		out = append(out, AskAction{Sequence: ev.Sequence, Helper: h, Target: p.target})
	}
	if len(out) == 0 {
		delete(c.probes, ev.Sequence)
		return c.suspect(now, p.target.Name, p.target.Incarnation)
	}
	p.helpers = len(out)
	return out
}

// helpers chooses members by turns from the own zone, from the target's and
// from the others, so that a cut between two zones alone is seen as one.
func (c *Core) helpers(target Member, random *rand.Rand) []Member {
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
	for i := 0; len(out) < c.opts.Helpers; i++ {
		before := len(out)
		for _, g := range groups {
			if i < len(g) && len(out) < c.opts.Helpers {
				out = append(out, g[i])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

func (c *Core) helped(now time.Time, ev HelpedEvent) []Action {
	p := c.probes[ev.Sequence]
	if p == nil {
		return nil
	}
	if ev.Reached {
		delete(c.probes, ev.Sequence)
		return nil
	}
	p.helpers--
	if p.helpers > 0 {
		return nil
	}
	delete(c.probes, ev.Sequence)
	return c.suspect(now, p.target.Name, p.target.Incarnation)
}

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
