// Package peer is what entries say to each other, over gRPC: who is there,
// which configuration is in force, which upstreams are leaving and how busy
// they are.
//
// Node drives the pure core in decision/membership: it sends the probes that
// the core asks for and passes the answers in. News travel at once from entry
// to entry (Push), each passing on what was new to it; probes carry digests, by
// which an entry that missed something finds out and pulls it.
package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"jaylink/decision/membership"
	"jaylink/peer/peerpb"
)

// Config gives a node access to the configuration of its entry.
type Config interface {
	// Delta returns what is newer than a revision.
	Delta(after uint64) *peerpb.Delta
	// Merge takes what a peer sent and reports whether an object or the
	// revision was new.
	Merge(from string, d *peerpb.Delta) bool
	// Revision returns the revision up to which every change is known.
	Revision() uint64
	// Digest is a hash of the objects in force.
	Digest() uint64
	// Known reports whether the configuration has been read; it may be empty.
	Known() bool
}

// Signs gives a node access to the leaving signs of its entry.
type Signs interface {
	// All returns the signs that hold.
	All() []*peerpb.Sign
	// Digest is a hash of them.
	Digest() uint64
	// Merge takes what a peer sent and returns what was new.
	Merge(signs []*peerpb.Sign) []*peerpb.Sign
}

// Loads gives a node access to the load reports of its entry.
type Loads interface {
	// Newest returns the reports to pass on, at most n.
	Newest(n int) []*peerpb.Load
	// Merge takes what a peer sent.
	Merge(loads []*peerpb.Load)
}

// Usages gives a node access to the requests in flight of its entry.
type Usages interface {
	// Own returns what this entry has, by customer.
	Own() []*peerpb.Usage
	// Take takes what a peer has.
	Take(from string, usages []*peerpb.Usage)
}

// Options describe a node. Signs, Loads and Usages may be nil.
type Options struct {
	// Self describes this entry.
	Self *peerpb.Member
	// Seeds are peer addresses to begin with.
	Seeds []string
	// Heartbeat is the time between rounds.
	Heartbeat time.Duration
	Config    Config
	Signs     Signs
	Loads     Loads
	Usages    Usages
	Log       *slog.Logger
	// Changed is called after a member joined, died, left or began to leave.
	Changed func()
	// Credentials secure the port and the connections; nil means plaintext.
	Credentials *Credentials
	// Source is the IP address that connections to peers come from; "" leaves
	// it to the system.
	Source string
}

// Node is this entry's side of the peer protocol.
type Node struct {
	peerpb.UnimplementedPeerServer
	opts Options

	mu        sync.Mutex
	core      *membership.Core
	revisions map[string]uint64 // configuration of each member, as it said last
	changed   chan struct{}     // closed at the next change
	closing   bool

	// changes counts the changes of members, suspicions included.
	changes atomic.Uint64
	traffic traffic

	connsMu sync.Mutex
	conns   map[string]*grpc.ClientConn

	server *grpc.Server
	wake   chan struct{}
	pull   chan string
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a node that is not started.
func New(opts Options) *Node {
	n := &Node{
		opts:      opts,
		core:      membership.New(memberOf(opts.Self), membership.Options{Interval: opts.Heartbeat}),
		revisions: map[string]uint64{},
		changed:   make(chan struct{}),
		conns:     map[string]*grpc.ClientConn{},
		server:    grpc.NewServer(serverOptions(opts)...),
		wake:      make(chan struct{}, 1),
		pull:      make(chan string, 1),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.SetSeeds(opts.Seeds)
	return n
}

// Server returns the gRPC server, so that further services can be registered
// before Serve.
func (n *Node) Server() *grpc.Server { return n.server }

// Serve answers peers on the listener and starts the rounds.
func (n *Node) Serve(ln net.Listener) {
	peerpb.RegisterPeerServer(n.server, n)
	n.done.Go(func() { _ = n.server.Serve(countedListener{ln, &n.traffic}) })
	n.done.Go(n.runRounds)
	n.done.Go(n.runPulls)
}

// Close tells a few peers that this entry stopped, and ends the rounds and the
// server.
func (n *Node) Close() {
	n.sayLeave()
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.cancel()
	n.server.Stop()
	n.done.Wait()
	n.connsMu.Lock()
	defer n.connsMu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// spawn runs f in the background unless the node is closing.
func (n *Node) spawn(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closing {
		n.done.Go(f)
	}
}

// SetSeeds replaces the addresses at which peers may be found.
func (n *Node) SetSeeds(addresses []string) { n.step(membership.SeedsEvent{Addresses: addresses}) }

// SetLeaving tells the peers that this entry accepts no new requests.
func (n *Node) SetLeaving() {
	n.step(membership.LeaveEvent{})
	n.spreadMembership()
}

// Wake starts a round at once.
func (n *Node) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Live returns the live members without this entry, in name order.
func (n *Node) Live() []*peerpb.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*peerpb.Member
	for _, m := range n.core.Live() {
		pb := memberProto(m)
		pb.ConfigRevision = n.revisions[m.Name]
		list = append(list, pb)
	}
	return list
}

// Changes returns a number that rises with each change of a member, suspicions
// included.
func (n *Node) Changes() uint64 { return n.changes.Load() }

// Dead reports whether a member is known to have ended or cannot be reached by
// anyone that this entry can reach.
func (n *Node) Dead(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, known := n.core.Get(name)
	return known && !m.Live()
}

// Changed returns a channel that is closed at the next change of a member.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// step passes an event to the core and carries out what it leads to. It returns
// the reply, if there is one.
func (n *Node) step(ev membership.Event) *membership.Message {
	n.mu.Lock()
	actions := n.core.Step(time.Now(), ev)
	n.mu.Unlock()
	var reply *membership.Message
	for _, a := range actions {
		switch a := a.(type) {
		case membership.ReplyAction:
			reply = &a.Message
		case membership.ChangedAction:
			n.memberChanged(a)
		case membership.RefutedAction:
			n.opts.Log.Info("suspicion refuted", "incarnation", a.Incarnation)
		default:
			n.spawn(func() { n.carryOut(a) })
		}
	}
	return reply
}

func (n *Node) memberChanged(a membership.ChangedAction) {
	m := a.Member
	n.changes.Add(1)
	if m.State == membership.Suspect {
		n.opts.Log.Info("peer suspect", "peer", m.Name, "availability_zone", m.AvailabilityZone)
		return
	}
	n.opts.Log.Info("peer changed", "peer", m.Name, "availability_zone", m.AvailabilityZone,
		"state", memberProto(m).State.String(), "leaving", m.Leaving, "joined", !a.Known)
	n.mu.Lock()
	close(n.changed)
	n.changed = make(chan struct{})
	if !m.Live() {
		delete(n.revisions, m.Name)
	}
	n.mu.Unlock()
	if n.opts.Changed != nil {
		n.opts.Changed()
	}
}

// random is the randomness that the core is given.
func random() uint64 { return rand.Uint64() }
