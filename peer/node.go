// Package peer implements the gRPC protocol between entries (gateway processes). They
// exchange the membership of the entries, the configuration, signs that upstream
// hosts are leaving, load reports of upstreams, and requests in flight by customer.
//
// Node executes the membership protocol, whose logic is in decision/membership and
// performs no I/O: Node sends the probes that the logic requests and passes the
// replies to it. Changes of the configuration and signs are pushed from entry to
// entry (Push); each entry forwards what was new to it. Probes contain digests, from
// which an entry that missed a push detects the difference and pulls the changes
// (Pull).
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
	// Delta returns the changes after a revision.
	Delta(after uint64) *peerpb.Delta
	// Merge merges a delta that a peer sent and reports whether an object or
	// the revision was new.
	Merge(from string, d *peerpb.Delta) bool
	// Revision returns the revision up to which all changes are known.
	Revision() uint64
	// Digest returns a hash of the objects in force.
	Digest() uint64
	// Known reports whether the configuration has been read. An empty
	// configuration may be known, too.
	Known() bool
}

// Signs gives a node access to the signs of its entry. A sign states that an upstream
// host is leaving, or no longer leaving.
type Signs interface {
	// All returns the signs that have not expired.
	All() []*peerpb.Sign
	// Digest returns a hash of the signs that All returns.
	Digest() uint64
	// Merge merges signs that a peer sent and returns those that were new.
	Merge(signs []*peerpb.Sign) []*peerpb.Sign
}

// Loads gives a node access to the load reports of its entry.
type Loads interface {
	// Newest returns the newest reports to send to peers, at most n.
	Newest(n int) []*peerpb.Load
	// Merge merges reports that a peer sent.
	Merge(loads []*peerpb.Load)
}

// Usages gives a node access to the numbers of requests in flight, by customer.
type Usages interface {
	// Own returns the numbers of this entry.
	Own() []*peerpb.Usage
	// SetPeer replaces the numbers of a peer.
	SetPeer(from string, usages []*peerpb.Usage)
}

// Options describe a node. Signs, Loads and Usages may be nil.
type Options struct {
	// Self describes this entry.
	Self *peerpb.Member
	// Seeds are the addresses at which peers are contacted first.
	Seeds []string
	// Heartbeat is the interval between rounds of probes.
	Heartbeat time.Duration
	Config    Config
	Signs     Signs
	Loads     Loads
	Usages    Usages
	Log       *slog.Logger
	// Changed, if set, is called after a member has joined, died, left or begun
	// to leave.
	Changed func()
	// Credentials secure the peer port and the connections to peers; nil means
	// plaintext.
	Credentials *Credentials
	// Source is the source IP address of connections to peers; if it is empty,
	// the operating system selects it.
	Source string
}

// Node runs the peer protocol for this entry.
type Node struct {
	peerpb.UnimplementedPeerServer
	opts Options

	mu        sync.Mutex
	core      *membership.Core
	revisions map[string]uint64 // configuration revision that each member last reported
	changed   chan struct{}     // closed at the next change of a member
	closing   bool

	// changes counts the changes of members, including suspicions.
	changes atomic.Uint64
	traffic traffic

	connsMu sync.Mutex
	conns   map[string]*grpc.ClientConn

	server *grpc.Server
	wake   chan struct{} // starts a round at once
	pull   chan string   // addresses of peers to pull from
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a node that is not started.
func New(opts Options) *Node {
	n := &Node{
		opts:      opts,
		core:      membership.New(memberFromProto(opts.Self), membership.Options{Interval: opts.Heartbeat}),
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

// Serve starts the gRPC server on the listener, and the rounds of probes.
func (n *Node) Serve(ln net.Listener) {
	peerpb.RegisterPeerServer(n.server, n)
	n.done.Go(func() { _ = n.server.Serve(countedListener{ln, &n.traffic}) })
	n.done.Go(n.runRounds)
	n.done.Go(n.runPulls)
}

// Close tells a few peers that this entry has stopped, ends the rounds and the server,
// and closes all connections.
func (n *Node) Close() {
	n.announceStop()
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

// SetSeeds replaces the addresses at which peers are contacted first.
func (n *Node) SetSeeds(addresses []string) { n.step(membership.SeedsEvent{Addresses: addresses}) }

// SetLeaving tells the peers that this entry accepts no new requests.
func (n *Node) SetLeaving() {
	n.step(membership.LeaveEvent{})
	n.announceSelf()
}

// Wake starts a round of probes at once.
func (n *Node) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Live returns the live members except this entry, sorted by name.
func (n *Node) Live() []*peerpb.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*peerpb.Member
	for _, m := range n.core.Live() {
		pb := memberToProto(m)
		pb.ConfigRevision = n.revisions[m.Name]
		list = append(list, pb)
	}
	return list
}

// Changes returns the number of changes of members, including suspicions.
func (n *Node) Changes() uint64 { return n.changes.Load() }

// Dead reports whether a member is known and not live: it has stopped, or this entry
// and the entries that it can reach can't reach the member. It returns false for
// unknown names.
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

// step passes an event to the membership logic and performs the resulting actions. It
// returns the message to reply with, if there is one.
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
			n.spawn(func() { n.perform(a) })
		}
	}
	return reply
}

// memberChanged logs a change of a member and notifies those who wait for changes. A
// suspicion is only counted and logged.
func (n *Node) memberChanged(a membership.ChangedAction) {
	m := a.Member
	n.changes.Add(1)
	if m.State == membership.Suspect {
		n.opts.Log.Info("peer suspect", "peer", m.Name, "availability_zone", m.AvailabilityZone)
		return
	}
	n.opts.Log.Info("peer changed", "peer", m.Name, "availability_zone", m.AvailabilityZone,
		"state", memberToProto(m).State.String(), "leaving", m.Leaving, "joined", !a.Known)
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

// random returns a random number for an event of the membership logic.
func random() uint64 { return rand.Uint64() }
