// Package membership decides which entries are live. It is the pure core of a
// SWIM-like protocol: it does no I/O, starts no goroutine, reads no clock and
// draws no randomness. Events go in through Core.Step, typed actions come out.
//
// In each round an entry probes one member. A probe that fails is repeated
// through a few helpers; if none of them reaches the member either, it becomes
// suspect. A suspect that hears of it raises its incarnation, which overrides
// the suspicion; one that does not is dead after a time that grows with the
// logarithm of the fleet. Changes travel piggybacked on the probes, a bounded
// number a message, so the cost of a round does not depend on the fleet's size.
// When two tables differ although nothing is left to send, they are exchanged
// as a whole.
//
// Availability zones: most probes stay in the own zone, so a zone that is cut
// off keeps an accurate view of itself, and every few rounds a member that is
// not reachable is tried again, so that the parts find each other afterwards.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed about a member.
type State uint8

// The states, each overriding the ones before it at the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	// Left means that the member said itself that it stopped.
	Left
)

// Member is one entry as the fleet knows it.
type Member struct {
	Name             string
	Address          string // peer port, "ip:port"
	AvailabilityZone string
	Region           string
	CallerAddress    string // caller port, "ip:port"
	// Incarnation is raised by the member alone: at each start, to refute a
	// suspicion and to say that it is leaving.
	Incarnation uint64
	State       State
	// Leaving says that the member accepts no new requests.
	Leaving bool
}

// Live reports whether the member counts as running. A suspect does.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// overrides reports whether m is newer than what is known.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Options are the protocol's parameters. Zero values stand for the defaults.
type Options struct {
	// Interval is the time between rounds. Default 500ms.
	Interval time.Duration
	// Helpers is the number of members asked to repeat a failed probe.
	// Default 3.
	Helpers int
	// MaxUpdates bounds the updates in one message. Default 12.
	MaxUpdates int
	// SuspicionRounds is how many rounds a suspect has to refute, for each
	// power of ten of the fleet's size. Default 4.
	SuspicionRounds int
	// ForgetAfter is how long a dead member is remembered and tried again.
	// Default 1h.
	ForgetAfter time.Duration
	// SyncPause is the least time between two exchanges of whole tables that
	// this entry starts. Default 10s.
	SyncPause time.Duration
}

const (
	defaultInterval        = 500 * time.Millisecond
	defaultHelpers         = 3
	defaultMaxUpdates      = 12
	defaultSuspicionRounds = 4
	defaultForgetAfter     = time.Hour
	defaultSyncPause       = 10 * time.Second

	// foreignRounds is how many rounds there are to one that probes a member
	// of another availability zone.
	foreignRounds = 4
	// reconnectRounds is how many rounds there are to one that also tries an
	// address which is not known to be live.
	reconnectRounds = 4
	// transmitFactor times the logarithm of the fleet's size is how often an
	// update is sent.
	transmitFactor = 3
	// backlogMessages is how many messages' worth of updates may wait before
	// whole tables are exchanged instead.
	backlogMessages = 4
	// pauseRounds is how many rounds may be missed before the entry takes it
	// that it was paused itself.
	pauseRounds = 4
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Helpers = cmp.Or(o.Helpers, defaultHelpers)
	o.MaxUpdates = cmp.Or(o.MaxUpdates, defaultMaxUpdates)
	o.SuspicionRounds = cmp.Or(o.SuspicionRounds, defaultSuspicionRounds)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	o.SyncPause = cmp.Or(o.SyncPause, defaultSyncPause)
	return o
}

// Core is one entry's view. It is not safe for concurrent use.
type Core struct {
	opts    Options
	self    Member
	members map[string]*entry // without self
	names   []string          // of members, sorted
	updates map[string]*update
	probes  map[uint64]*probe
	seeds   []string
	digest  uint64 // of the live members without self

	sequence uint64
	rounds   int
	local    rotation // members of the own zone
	foreign  rotation // members of other zones
	rounded  time.Time
	synced   time.Time
}

type entry struct {
	Member
	since time.Time // of the state
}

// hash is the member's part of the digest; only live members have one.
func (e *entry) hash() uint64 {
	if !e.Live() {
		return 0
	}
	return hash(e.Member)
}

// New returns a core that knows only its own entry.
func New(self Member, opts Options) *Core {
	self.State = Alive
	c := &Core{
		opts: opts.withDefaults(), self: self, members: map[string]*entry{},
		updates: map[string]*update{}, probes: map[uint64]*probe{},
	}
	c.enqueue(self)
	return c
}

// Self returns this entry's own record.
func (c *Core) Self() Member { return c.self }

// Get returns what is known of another member.
func (c *Core) Get(name string) (Member, bool) {
	e := c.members[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all other members that are remembered, the dead ones
// included, in name order.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		out = append(out, c.members[name].Member)
	}
	return out
}

// Live returns the other members that count as running, in name order.
func (c *Core) Live() []Member {
	out := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		if e := c.members[name]; e.Live() {
			out = append(out, e.Member)
		}
	}
	return out
}

// Digest is a hash of the live members, this entry included.
func (c *Core) Digest() uint64 { return c.digest ^ hash(c.self) }

func hash(m Member) uint64 {
	var inc [8]byte
	for i := range inc {
		inc[i] = byte(m.Incarnation >> (8 * i))
	}
	return xxhash.Sum64String(m.Name + "\x00" + string(inc[:]))
}

// take merges one update. It returns the change, if there was one.
func (c *Core) take(now time.Time, m Member) []Action {
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
	c.members[m.Name] = &entry{Member: m, since: now}
	c.digest ^= c.members[m.Name].hash()
	c.enqueue(m)
	return []Action{ChangedAction{Member: m, Before: before, Known: known}}
}

// refute answers an update about this entry itself.
func (c *Core) refute(m Member) []Action {
	if c.self.State == Left || !m.overrides(c.self) {
		return nil
	}
	c.self.Incarnation = m.Incarnation + 1
	c.enqueue(c.self)
	return []Action{RefutedAction{Incarnation: c.self.Incarnation}}
}

// suspect marks a member that could not be reached.
func (c *Core) suspect(now time.Time, name string, incarnation uint64) []Action {
	e := c.members[name]
	if e == nil || e.State != Alive || e.Incarnation != incarnation {
		return nil
	}
	m := e.Member
	m.State = Suspect
	return c.take(now, m)
}

// expire declares suspects dead whose time is over and forgets old records.
func (c *Core) expire(now time.Time) []Action {
	var out []Action
	limit := c.suspicion()
	for _, name := range slices.Clone(c.names) {
		e := c.members[name]
		switch {
		case e.State == Suspect && now.Sub(e.since) >= limit:
			m := e.Member
			m.State = Dead
			out = append(out, c.take(now, m)...)
		case !e.Live() && now.Sub(e.since) >= c.opts.ForgetAfter:
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

// suspicion is how long a suspect has to refute.
func (c *Core) suspicion() time.Duration {
	digits := 1
	for n := len(c.names) + 1; n >= 10; n /= 10 {
		digits++
	}
	return time.Duration(digits*c.opts.SuspicionRounds) * c.opts.Interval
}

// resumed moves the suspicions on by the time for which this entry was paused:
// nobody could refute to it meanwhile.
func (c *Core) resumed(now time.Time) {
	gap := now.Sub(c.rounded) - c.opts.Interval
	if !c.rounded.IsZero() && gap > pauseRounds*c.opts.Interval {
		for _, e := range c.members {
			e.since = e.since.Add(gap)
		}
	}
	c.rounded = now
}
