package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

// network simulates a fleet of cores in virtual time. A probe either reaches its
// target immediately or fails.
type network struct {
	now         time.Time
	cores       map[string]*Core
	names       []string
	byAddr      map[string]string
	down        map[string]bool // processes that have ended
	paused      map[string]bool
	partitioned func(a, b *Core) bool
	random      *rand.Rand
	updatesSent int // in all messages
	syncs       int // exchanges of whole tables
}

func newNetwork(seed uint64, zones, perZone int) *network {
	n := &network{
		now: time.Unix(0, 0), cores: map[string]*Core{}, byAddr: map[string]string{}, down: map[string]bool{},
		paused: map[string]bool{}, partitioned: func(a, b *Core) bool { return false }, random: rand.New(rand.NewPCG(seed, 1)),
	}
	for z := range zones {
		for i := range perZone {
			n.add(fmt.Sprintf("z%d-%03d", z, i), fmt.Sprintf("z%d", z), 1)
		}
	}
	return n
}

func (n *network) add(name, zone string, incarnation uint64) {
	c := New(Member{Name: name, Address: "addr-" + name, AvailabilityZone: zone, Incarnation: incarnation}, Options{})
	if len(n.names) > 0 {
		c.Step(n.now, SeedsEvent{Addresses: []string{"addr-" + n.names[0], "addr-" + n.names[len(n.names)/2]}})
	}
	if n.cores[name] == nil {
		n.names = append(n.names, name)
	}
	n.cores[name], n.byAddr[c.self.Address] = c, name
}

// reachable returns the core at an address if a can reach it, or nil.
func (n *network) reachable(a *Core, address string) *Core {
	name := n.byAddr[address]
	b := n.cores[name]
	if b == nil || n.down[name] || n.paused[name] || n.partitioned(a, b) {
		return nil
	}
	return b
}

func (n *network) runRounds(count int) {
	for range count {
		n.now = n.now.Add(defaultInterval)
		for _, name := range n.names {
			if !n.down[name] && !n.paused[name] {
				c := n.cores[name]
				n.perform(c, c.Step(n.now, RoundEvent{Random: n.random.Uint64()}))
			}
		}
	}
}

func (n *network) perform(c *Core, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ProbeAction:
			n.probe(c, a)
		case IndirectProbeAction:
			h := n.reachable(c, a.Helper.Address)
			reached := h != nil && n.reachable(h, a.Target.Address) != nil
			n.perform(c, c.Step(n.now, IndirectProbeResultEvent{Sequence: a.Sequence, Reached: reached}))
		case SyncAction:
			if b := n.reachable(c, a.Address); b != nil {
				n.syncs++
				mine, theirs := append(c.Members(), c.Self()), append(b.Members(), b.Self())
				n.perform(b, b.Step(n.now, SyncedEvent{Members: mine}))
				n.perform(c, c.Step(n.now, SyncedEvent{Members: theirs}))
			}
		}
	}
}

func (n *network) probe(c *Core, a ProbeAction) {
	b := n.reachable(c, a.Address)
	if b == nil {
		n.perform(c, c.Step(n.now, ProbeFailedEvent{Sequence: a.Sequence, Random: n.random.Uint64()}))
		return
	}
	n.updatesSent += len(a.Message.Updates)
	out := b.Step(n.now, ReceivedEvent{Message: a.Message})
	for _, o := range out {
		if r, ok := o.(ReplyAction); ok {
			n.updatesSent += len(r.Message.Updates)
			n.perform(c, c.Step(n.now, ProbeReplyEvent{Sequence: a.Sequence, Message: r.Message}))
			continue
		}
		n.perform(b, []Action{o})
	}
}

// accurate reports whether the live members of each running core are exactly the
// running cores that it can reach.
func (n *network) accurate() bool {
	for _, name := range n.names {
		if n.down[name] || n.paused[name] {
			continue
		}
		c := n.cores[name]
		want := 0
		for _, other := range n.names {
			if other != name && n.reachable(c, n.cores[other].self.Address) != nil {
				want++
			}
		}
		live := c.Live()
		if len(live) != want {
			return false
		}
		for _, m := range live {
			if n.reachable(c, m.Address) == nil {
				return false
			}
		}
	}
	return true
}

// awaitAccurate runs rounds until all views are accurate, and returns their
// number. It fails the test after limit rounds.
func (n *network) awaitAccurate(t require.TestingT, limit int) int {
	for i := range limit {
		if n.accurate() {
			return i
		}
		n.runRounds(1)
	}
	require.True(t, n.accurate(), "views are not accurate after %d rounds", limit)
	return limit
}

// isolateZone returns a partition between the members of a zone and all others.
func isolateZone(zone string) func(a, b *Core) bool {
	return func(a, b *Core) bool {
		return (a.self.AvailabilityZone == zone) != (b.self.AvailabilityZone == zone)
	}
}

func TestViewsConvergeAfterOneFault(t *testing.T) {
	// Rounds last 500ms, so all views must be accurate within 14s.
	const limit = 28
	cases := []struct {
		name  string
		fault func(n *network)
	}{
		{"one entry fails", func(n *network) { n.down["z0-003"] = true }},
		{"one entry is paused", func(n *network) { n.paused["z1-000"] = true }},
		{"a whole zone fails", func(n *network) {
			for i := range 8 {
				n.down[fmt.Sprintf("z2-%03d", i)] = true
			}
		}},
		{"a zone is partitioned", func(n *network) { n.partitioned = isolateZone("z1") }},
		{"an entry shuts down", func(n *network) {
			c := n.cores["z0-001"]
			c.Step(n.now, LeaveEvent{Stopped: true})
			n.runRounds(1)
			n.down["z0-001"] = true
		}},
		{"an entry restarts", func(n *network) { n.add("z0-002", "z0", 100) }},
		{"an entry joins", func(n *network) { n.add("z3-000", "z3", 1) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newNetwork(7, 3, 8)
			n.awaitAccurate(t, limit)
			tc.fault(n)
			n.awaitAccurate(t, limit)
		})
	}
}

func TestZoneHealsAfterACut(t *testing.T) {
	n := newNetwork(3, 5, 8)
	n.awaitAccurate(t, 40)
	n.partitioned = isolateZone("z1")
	n.awaitAccurate(t, 40)
	n.runRounds(240) // two minutes
	require.True(t, n.accurate(), "the partitioned zone keeps an accurate view of itself")
	n.partitioned = func(a, b *Core) bool { return false }
	n.awaitAccurate(t, 60)
}

func TestCutBetweenTwoZonesIsBridgedByHelpers(t *testing.T) {
	n := newNetwork(5, 3, 4)
	n.awaitAccurate(t, 40)
	n.partitioned = func(a, b *Core) bool {
		x, y := a.self.AvailabilityZone, b.self.AvailabilityZone
		return (x == "z0" && y == "z1") || (x == "z1" && y == "z0")
	}
	n.runRounds(120)
	for _, c := range n.cores {
		require.Len(t, c.Live(), 11, "an entry reachable from a third zone must stay live")
	}
}

func TestPausedEntryBlamesNobodyWhenItResumes(t *testing.T) {
	n := newNetwork(9, 2, 4)
	n.awaitAccurate(t, 28)
	c := n.cores["z0-000"]
	c.Step(n.now, ProbeFailedEvent{})
	e := c.members["z0-001"]
	m := e.Member
	m.State = Suspect
	c.applyUpdate(n.now, m)
	for _, a := range c.Step(n.now.Add(time.Minute), RoundEvent{}) {
		changed, ok := a.(ChangedAction)
		require.False(t, ok && changed.Member.State == Dead, "%+v", a)
	}
}

func TestLeavingMemberStaysLive(t *testing.T) {
	n := newNetwork(4, 3, 4)
	n.awaitAccurate(t, 28)
	n.cores["z0-000"].Step(n.now, LeaveEvent{})
	n.runRounds(20)
	for name, c := range n.cores {
		if name != "z0-000" {
			m, _ := c.Get("z0-000")
			require.True(t, m.Leaving && m.Live(), name)
		}
	}
}

func TestMessagesAreBounded(t *testing.T) {
	n := newNetwork(2, 5, 20)
	for range 40 {
		n.runRounds(1)
		for _, c := range n.cores {
			require.LessOrEqual(t, len(c.nextMessage("").Updates), defaultMaxUpdates)
		}
	}
	n.awaitAccurate(t, 60)
}

// Without membership changes, probes carry no updates and no tables are
// exchanged, whatever the fleet's size.
func TestIdleFleetSendsNoUpdates(t *testing.T) {
	for _, perZone := range []int{4, 16, 68} {
		n := newNetwork(1, 5, perZone)
		n.awaitAccurate(t, 120)
		n.runRounds(80)
		n.updatesSent, n.syncs = 0, 0
		n.runRounds(20)
		require.Zero(t, n.updatesSent, "%d entries", 5*perZone)
		require.Zero(t, n.syncs, "%d entries", 5*perZone)
	}
}

// After any sequence of faults, once the faults end, all views become accurate.
func TestViewsConvergeAfterAnySchedule(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, 3)
		n.awaitAccurate(t, 60)
		incarnation := uint64(1000)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			name := rapid.SampledFrom(n.names).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				n.down[name] = true
			case 1:
				n.paused[name] = true
			case 2:
				n.partitioned = isolateZone(n.cores[name].self.AvailabilityZone)
			case 3:
				n.partitioned = func(a, b *Core) bool { return false }
			case 4:
				delete(n.paused, name)
			case 5:
				incarnation++
				n.add(name, n.cores[name].self.AvailabilityZone, incarnation)
				delete(n.down, name)
			}
			n.runRounds(rapid.IntRange(0, 30).Draw(t, "rounds"))
		}
		clear(n.paused)
		n.partitioned = func(a, b *Core) bool { return false }
		n.awaitAccurate(t, 120)
	})
}

// Each entry exchanges digests with a live member in every round, whatever the
// layout of zones. An entry that missed every push is therefore out of date for
// at most one round.
func TestEveryRoundProbesALiveMember(t *testing.T) {
	for _, layout := range [][2]int{{1, 2}, {2, 1}, {3, 2}, {5, 8}, {5, 1}} {
		n := newNetwork(11, layout[0], layout[1])
		n.awaitAccurate(t, 60)
		for range 50 {
			n.now = n.now.Add(defaultInterval)
			for _, name := range n.names {
				c := n.cores[name]
				actions := c.Step(n.now, RoundEvent{Random: n.random.Uint64()})
				reached := 0
				for _, a := range actions {
					if p, ok := a.(ProbeAction); ok && n.reachable(c, p.Address) != nil {
						reached++
					}
				}
				require.Positive(t, reached, "%s of %v", name, layout)
				n.perform(c, actions)
			}
		}
	}
}
