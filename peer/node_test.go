package peer

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/membership"
	"jaylink/internal/procs"
	"jaylink/peer/peerpb"
)

// fakeConfig is a Config that consists only of a revision.
type fakeConfig struct {
	mu       sync.Mutex
	revision uint64
	merged   []uint64 // merged revisions in order of arrival
}

func (c *fakeConfig) Delta(after uint64) *peerpb.Delta {
	return &peerpb.Delta{Revision: c.Revision(), After: after}
}

func (c *fakeConfig) Merge(_ string, d *peerpb.Delta) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.GetRevision() <= c.revision || d.GetAfter() > c.revision {
		return false
	}
	c.revision = d.GetRevision()
	c.merged = append(c.merged, c.revision)
	return true
}

func (c *fakeConfig) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

func (c *fakeConfig) Digest() uint64 { return c.Revision() }

func (c *fakeConfig) Known() bool { return true }

func (c *fakeConfig) set(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = revision
}

// fakeSigns is a Signs that holds one sign for each host.
type fakeSigns struct {
	mu    sync.Mutex
	signs map[string]*peerpb.Sign
}

func (s *fakeSigns) All() []*peerpb.Sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*peerpb.Sign
	for _, sg := range s.signs {
		out = append(out, sg)
	}
	return out
}

func (s *fakeSigns) Digest() uint64 { return uint64(len(s.All())) }

func (s *fakeSigns) Merge(signs []*peerpb.Sign) []*peerpb.Sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []*peerpb.Sign
	for _, sg := range signs {
		if s.signs[sg.GetHost()] == nil {
			s.signs[sg.GetHost()] = sg
			fresh = append(fresh, sg)
		}
	}
	return fresh
}

func (s *fakeSigns) has(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.signs[host] != nil
}

type testNode struct {
	*Node
	config *fakeConfig
	signs  *fakeSigns
}

func startNode(t *testing.T, name, zone string, seeds ...string) *testNode {
	t.Helper()
	address := procs.Address()
	n := &testNode{config: &fakeConfig{}, signs: &fakeSigns{signs: map[string]*peerpb.Sign{}}}
	n.Node = New(Options{
		Self:      &peerpb.Member{Name: name, Address: address, AvailabilityZone: zone, Region: "r", Incarnation: uint64(time.Now().UnixNano())},
		Seeds:     seeds,
		Heartbeat: 20 * time.Millisecond,
		Config:    n.config,
		Signs:     n.signs,
		Log:       slog.New(slog.DiscardHandler),
	})
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	n.Serve(ln)
	return n
}

func (n *testNode) address() string { return n.opts.Self.GetAddress() }

// awaitLive waits until a node has the given number of live peers.
func awaitLive(t *testing.T, n *testNode, count int) {
	t.Helper()
	require.NoError(t, procs.Await("live peers", func() bool { return len(n.Live()) == count }))
}

func TestNodesDiscoverEachOtherThroughOneSeed(t *testing.T) {
	a := startNode(t, "a", "z1")
	defer a.Close()
	b := startNode(t, "b", "z1", a.address())
	defer b.Close()
	c := startNode(t, "c", "z2", a.address())
	defer c.Close()
	for _, n := range []*testNode{a, b, c} {
		awaitLive(t, n, 2)
	}
}

func TestStoppedNodeIsDeadAtOnceAndKilledNodeSoon(t *testing.T) {
	a := startNode(t, "a", "z1")
	defer a.Close()
	b := startNode(t, "b", "z1", a.address())
	c := startNode(t, "c", "z1", a.address())
	awaitLive(t, a, 2)
	changed := a.Changed()
	b.Close()
	<-changed
	require.NoError(t, procs.Await("b dead", func() bool { return a.Dead("b") }))
	require.False(t, a.Dead("c"))
	// A process that is killed does not announce its end.
	c.cancel()
	c.server.Stop()
	require.NoError(t, procs.Await("c dead", func() bool { return a.Dead("c") }))
	c.Close()
	require.False(t, a.Dead("unknown"))
}

// The last entry of a zone announces its stop to entries of other zones.
func TestLastNodeOfAZoneAnnouncesItsStop(t *testing.T) {
	a := startNode(t, "a", "z1")
	defer a.Close()
	b := startNode(t, "b", "z2", a.address())
	awaitLive(t, a, 1)
	awaitLive(t, b, 1)
	b.Close()
	m, known := a.core.Get("b")
	require.True(t, known)
	require.Equal(t, membership.Left, m.State, "the stop is announced before Close returns")
}

// Changes that were not pushed are detected by the digests in probes and pulled.
func TestMissedUpdatesArePulled(t *testing.T) {
	a := startNode(t, "a", "z1")
	defer a.Close()
	b := startNode(t, "b", "z2", a.address())
	defer b.Close()
	awaitLive(t, b, 1)
	a.config.set(7)
	a.signs.Merge([]*peerpb.Sign{{Host: "h", Leaving: true}})
	require.NoError(t, procs.Await("the configuration", func() bool { return b.config.Revision() == 7 }))
	require.NoError(t, procs.Await("the sign", func() bool { return b.signs.has("h") }))
}

// If changes before a pushed delta are missing, they are pulled from its sender.
func TestChangesMissingBeforeAPushArePulled(t *testing.T) {
	a := startNode(t, "a", "z1")
	defer a.Close()
	b := startNode(t, "b", "z1", a.address())
	defer b.Close()
	awaitLive(t, a, 1)
	awaitLive(t, b, 1)
	a.config.set(9)
	a.Announce(&peerpb.Delta{Revision: 9, After: 8})
	require.NoError(t, procs.Await("the revision", func() bool { return b.config.Revision() == 9 }))
}

func TestPushedSignsReachEveryNode(t *testing.T) {
	const count = 12
	nodes := []*testNode{startNode(t, "n0", "z0")}
	for i := 1; i < count; i++ {
		nodes = append(nodes, startNode(t, "n"+string(rune('a'+i)), []string{"z0", "z1", "z2"}[i%3], nodes[0].address()))
	}
	for _, n := range nodes {
		defer n.Close()
		awaitLive(t, n, count-1)
	}
	nodes[3].PushSigns([]*peerpb.Sign{{Host: "h", Leaving: true}})
	nodes[3].signs.Merge([]*peerpb.Sign{{Host: "h", Leaving: true}})
	for _, n := range nodes {
		require.NoError(t, procs.Await("the sign", func() bool { return n.signs.has("h") }))
	}
}
