// Package membership tracks which entries (gateway processes) of the fleet are
// live. It implements the state machine of a SWIM-like gossip protocol: it does
// no I/O, starts no goroutines, reads no clock and generates no random numbers.
// The driver passes events to Core.Step and performs the actions it returns.
//
// In each round an entry probes one member. If the probe fails, a few helpers
// probe the member on its behalf; if none of them reaches it, the member becomes
// suspect. A suspect that learns of the suspicion refutes it by raising its
// incarnation. Otherwise it is declared dead after a timeout that grows with the
// logarithm of the fleet's size. Membership changes are piggybacked on probe
// messages, with a bounded number per message, so the cost of a round does not
// depend on the fleet's size. Two entries whose tables still differ after all
// updates have been sent exchange their whole tables.
//
// Most probes stay within the entry's own availability zone, so a partitioned
// zone keeps an accurate view of its own members. Every few rounds an entry also
// probes an unreachable member, so that the two sides of a partition find each
// other once it heals.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as this entry knows it.
type State uint8

// Member states. At the same incarnation, a later state overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead
	// Left means that the member announced its own shutdown.
	Left
)

// Member is the record of one entry that is gossiped through the fleet.
type Member struct {
	Name             string
	Address          string // peer port, "ip:port"
	AvailabilityZone string
	Region           string
	CallerAddress    string // caller port, "ip:port"
	// Incarnation is raised only by the member itself: at each start, to
	// refute a suspicion, and to announce that it is leaving.
	Incarnation uint64
	State       State
	// Leaving reports that the member accepts no new requests.
	Leaving bool
}

// Live reports whether the member is considered running. Suspects are included.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// overrides reports whether m is newer than the known record old.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Options are the protocol's parameters. A zero value selects the default.
type Options struct {
	// Interval is the time between rounds. Default 500ms.
	Interval time.Duration
	// IndirectProbes is the number of helpers asked to repeat a failed probe.
	// Default 3.
	IndirectProbes int
	// MaxUpdates bounds the number of updates in one message. Default 12.
	MaxUpdates int
	// SuspicionRounds is the number of rounds a suspect has to refute the
	// suspicion, multiplied by the number of decimal digits of the fleet's
	// size. Default 4.
	SuspicionRounds int
	// ForgetAfter is how long dead members and those that left are
	// remembered. Dead members are probed again until then. Default 1h.
	ForgetAfter time.Duration
	// MinSyncInterval is the minimum time between two exchanges of whole
	// tables started by this entry, except with a member that has just
	// joined. Default 10s.
	MinSyncInterval time.Duration
}

const (
	defaultInterval        = 500 * time.Millisecond
	defaultIndirectProbes  = 3
	defaultMaxUpdates      = 12
	defaultSuspicionRounds = 4
	defaultForgetAfter     = time.Hour
	defaultMinSyncInterval = 10 * time.Second

	// Every crossZoneEvery-th round probes a member of another availability
	// zone.
	crossZoneEvery = 4
	// Every reconnectEvery-th round also probes an address at which no live
	// member is known.
	reconnectEvery = 4
	// retransmitMult times the binary logarithm of the fleet's size is how
	// many times an update is sent.
	retransmitMult = 3
	// backlogMessages is the number of full messages' worth of queued updates
	// above which whole tables are exchanged instead.
	backlogMessages = 4
	// maxMissedRounds is the number of missed rounds above which an entry
	// concludes that it was itself paused.
	maxMissedRounds = 4
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.IndirectProbes = cmp.Or(o.IndirectProbes, defaultIndirectProbes)
	o.MaxUpdates = cmp.Or(o.MaxUpdates, defaultMaxUpdates)
	o.SuspicionRounds = cmp.Or(o.SuspicionRounds, defaultSuspicionRounds)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	o.MinSyncInterval = cmp.Or(o.MinSyncInterval, defaultMinSyncInterval)
	return o
}

// Core is the protocol state of one entry. It is not safe for concurrent use.
type Core struct {
	opts          Options
	self          Member
	members       map[string]*record // without self
	names         []string           // member names, sorted
	updates       map[string]*queuedUpdate
	pendingProbes map[uint64]*pendingProbe
	seeds         []string
	digest        uint64 // of the live members without self

	sequence   uint64
	rounds     int
	sameZone   rotation // members of this entry's zone
	otherZones rotation // members of other zones
	lastRound  time.Time
	lastSync   time.Time
}

type record struct {
	Member
	stateSince time.Time // when State was set, shifted by pauses of this entry
}

// hash returns the member's contribution to the digest, 0 unless it is live.
func (e *record) hash() uint64 {
	if !e.Live() {
		return 0
	}
	return memberHash(e.Member)
}

// New returns a Core that knows only its own entry.
func New(self Member, opts Options) *Core {
	self.State = Alive
	c := &Core{
		opts: opts.withDefaults(), self: self, members: map[string]*record{},
		updates: map[string]*queuedUpdate{}, pendingProbes: map[uint64]*pendingProbe{},
	}
	c.enqueue(self)
	return c
}

// Self returns this entry's own record.
func (c *Core) Self() Member { return c.self }

// Get returns the record of another member.
func (c *Core) Get(name string) (Member, bool) {
	e := c.members[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all other remembered members in name order, including the
// dead ones and those that left.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		out = append(out, c.members[name].Member)
	}
	return out
}

// Live returns the other live members in name order.
func (c *Core) Live() []Member {
	out := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		if e := c.members[name]; e.Live() {
			out = append(out, e.Member)
		}
	}
	return out
}

// Digest returns a hash of the live members, including this entry.
func (c *Core) Digest() uint64 { return c.digest ^ memberHash(c.self) }

func memberHash(m Member) uint64 {
	var inc [8]byte
	for i := range inc {
		inc[i] = byte(m.Incarnation >> (8 * i))
	}
	return xxhash.Sum64String(m.Name + "\x00" + string(inc[:]))
}

// applyUpdate merges a member record and queues it for sending if it is newer
// than the known one. It returns the resulting action, if any.
func (c *Core) applyUpdate(now time.Time, m Member) []Action {
	if m.Name == "" {
		return nil
	}
	if m.Name == c.self.Name {
		return c.refute(m)
	}
	old, before, known := c.members[m.Name], Dead, false
	if old != nil {
		before, known = old.State, true
		if !m.overrides(old.Member) {
			return nil
		}
		c.digest ^= old.hash()
	}
	if !known {
		at, _ := slices.BinarySearch(c.names, m.Name)
		c.names = slices.Insert(c.names, at, m.Name)
	}
	c.members[m.Name] = &record{Member: m, stateSince: now}
	c.digest ^= c.members[m.Name].hash()
	c.enqueue(m)
	return []Action{ChangedAction{Member: m, Before: before, Known: known}}
}

// refute handles a record of this entry received from others. If it overrides
// the entry's own record, the entry raises its incarnation above it.
func (c *Core) refute(m Member) []Action {
	if c.self.State == Left || !m.overrides(c.self) {
		return nil
	}
	c.self.Incarnation = m.Incarnation + 1
	c.enqueue(c.self)
	return []Action{RefutedAction{Incarnation: c.self.Incarnation}}
}

// markSuspect marks a member as suspect, unless its state or incarnation has
// changed since the probe was sent.
func (c *Core) markSuspect(now time.Time, name string, incarnation uint64) []Action {
	e := c.members[name]
	if e == nil || e.State != Alive || e.Incarnation != incarnation {
		return nil
	}
	m := e.Member
	m.State = Suspect
	return c.applyUpdate(now, m)
}

// expire declares suspects dead whose suspicion timeout has passed, and removes
// dead members and those that left after Options.ForgetAfter.
func (c *Core) expire(now time.Time) []Action {
	var out []Action
	limit := c.suspicionTimeout()
	for _, name := range slices.Clone(c.names) {
		e := c.members[name]
		switch {
		case e.State == Suspect && now.Sub(e.stateSince) >= limit:
			m := e.Member
			m.State = Dead
			out = append(out, c.applyUpdate(now, m)...)
		case !e.Live() && now.Sub(e.stateSince) >= c.opts.ForgetAfter:
			c.forget(name)
		}
	}
	return out
}

func (c *Core) forget(name string) {
	delete(c.members, name)
	delete(c.updates, name)
	c.names = slices.DeleteFunc(c.names, func(n string) bool { return n == name })
}

// suspicionTimeout returns how long a suspect has to refute the suspicion.
func (c *Core) suspicionTimeout() time.Duration {
	digits := 1
	for n := len(c.names) + 1; n >= 10; n /= 10 {
		digits++
	}
	return time.Duration(digits*c.opts.SuspicionRounds) * c.opts.Interval
}

// compensateForPause extends all state timers by the time this entry was paused,
// because it could not receive refutations meanwhile.
func (c *Core) compensateForPause(now time.Time) {
	gap := now.Sub(c.lastRound) - c.opts.Interval
	if !c.lastRound.IsZero() && gap > maxMissedRounds*c.opts.Interval {
		for _, e := range c.members {
			e.stateSince = e.stateSince.Add(gap)
		}
	}
	c.lastRound = now
}
