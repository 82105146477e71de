// Package peer is what entries say to each other, over gRPC: heartbeats that
// tell who is there and carry configuration from those that have it to those
// that lack it.
package peer

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"jaylink/peer/peerpb"
)

const (
	exchangeTimeout = time.Second
	// handshakeTimeout bounds how long a connection may take to begin.
	handshakeTimeout = 5 * time.Second
	// fanout is the number of peers that one heartbeat round reaches.
	fanout = 2
	// memberTimeout is how long a silent member counts as live.
	memberTimeout = 5 * time.Second
	// forgetAfter is how long a silent member is remembered.
	forgetAfter = 10 * time.Minute
)

// Config gives a node access to the configuration of its entry.
type Config interface {
	// Delta returns what is newer than a revision.
	Delta(after uint64) *peerpb.Delta
	// Merge takes what a peer sent.
	Merge(from string, d *peerpb.Delta)
	// Revision returns the revision up to which every change is known.
	Revision() uint64
}

// Options describe a node.
type Options struct {
	// Self describes this entry; leaving and config_revision are filled in.
	Self *peerpb.Member
	// Seeds are peer addresses to begin with.
	Seeds []string
	// Heartbeat is the time between rounds.
	Heartbeat time.Duration
	Config    Config
	Log       *slog.Logger
	// Changed is called when the number of live members may have changed.
	Changed func()
}

// Node is this entry's side of the peer protocol.
type Node struct {
	peerpb.UnimplementedPeerServer
	opts Options

	mu      sync.Mutex
	members map[string]*member // by name, without this entry
	conns   map[string]*grpc.ClientConn
	leaving bool
	next    int

	server *grpc.Server
	wake   chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

type member struct {
	info *peerpb.Member
	seen time.Time
}

// New returns a node that is not started.
func New(opts Options) *Node {
	return &Node{
		opts:    opts,
		members: map[string]*member{},
		conns:   map[string]*grpc.ClientConn{},
		wake:    make(chan struct{}, 1),
		server:  grpc.NewServer(grpc.ConnectionTimeout(handshakeTimeout)),
	}
}

// Serve answers peers on the listener and starts the heartbeat.
func (n *Node) Serve(ln net.Listener) {
	peerpb.RegisterPeerServer(n.server, n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { _ = n.server.Serve(ln) })
	n.done.Go(func() { n.run(ctx) })
}

// Close ends the heartbeat and the server.
func (n *Node) Close() {
	n.cancel()
	n.server.Stop()
	n.done.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// SetLeaving tells the peers that this entry accepts no new requests.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.Wake()
}

// Wake starts a heartbeat round at once, to spread news.
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
	for _, m := range n.members {
		if time.Since(m.seen) < memberTimeout {
			list = append(list, m.info)
		}
	}
	slices.SortFunc(list, func(a, b *peerpb.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// Exchange implements peerpb.PeerServer.
func (n *Node) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	n.heard(req.GetSelf())
	if req.GetDelta() != nil {
		n.opts.Config.Merge(req.GetSelf().GetName(), req.GetDelta())
	}
	reply := &peerpb.ExchangeReply{Self: n.self(), Members: n.Live()}
	if n.opts.Config.Revision() > req.GetSelf().GetConfigRevision() {
		reply.Delta = n.opts.Config.Delta(req.GetSelf().GetConfigRevision())
	}
	return reply, nil
}

func (n *Node) self() *peerpb.Member {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	s := n.opts.Self
	return &peerpb.Member{
		Name: s.Name, Address: s.Address, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		Incarnation: s.Incarnation, CallerAddress: s.CallerAddress,
		Leaving: leaving, ConfigRevision: n.opts.Config.Revision(),
	}
}

// heard takes a sign of life of a member.
func (n *Node) heard(m *peerpb.Member) {
	if m.GetName() == "" || m.GetName() == n.opts.Self.Name {
		return
	}
	n.mu.Lock()
	old := n.members[m.Name]
	stale := old != nil && old.info.Incarnation > m.Incarnation
	if !stale {
		n.members[m.Name] = &member{info: m, seen: time.Now()}
	}
	n.mu.Unlock()
	if old == nil {
		n.opts.Log.Info("peer joined", "peer", m.Name, "availability_zone", m.AvailabilityZone)
		n.opts.Changed()
	}
}

// learn takes the address of a member that another one knows.
func (n *Node) learn(m *peerpb.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.GetName() == n.opts.Self.Name || n.members[m.GetName()] != nil {
		return
	}
	n.members[m.GetName()] = &member{info: m}
}

func (n *Node) run(ctx context.Context) {
	ticker := time.NewTicker(n.opts.Heartbeat)
	defer ticker.Stop()
	for {
		for _, address := range n.targets() {
			n.done.Go(func() { n.exchange(ctx, address) })
		}
		select {
		case <-ticker.C:
		case <-n.wake:
		case <-ctx.Done():
			return
		}
	}
}

// targets returns the addresses for the next round, taking turns.
func (n *Node) targets() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := slices.Clone(n.opts.Seeds)
	for name, m := range n.members {
		if !m.seen.IsZero() && time.Since(m.seen) > forgetAfter {
			delete(n.members, name)
			continue
		}
		all = append(all, m.info.Address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	all = slices.DeleteFunc(all, func(a string) bool { return a == n.opts.Self.Address })
	if len(all) <= fanout {
		return all
	}
	var out []string
	for range fanout {
		out = append(out, all[n.next%len(all)])
		n.next++
	}
	return out
}

// exchange performs one heartbeat with one peer.
func (n *Node) exchange(ctx context.Context, address string) {
	conn, err := n.conn(address)
	if err != nil {
		n.opts.Log.Warn("peer address is not usable", "peer", address, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerClient(conn).Exchange(ctx, &peerpb.ExchangeRequest{Self: n.self()})
	if err != nil {
		err = oops.In("peer").With("step", "exchange", "peer", address).Wrap(err)
		n.opts.Log.Debug("heartbeat failed", "peer", address, "err", err)
		return
	}
	n.heard(reply.GetSelf())
	for _, m := range reply.GetMembers() {
		n.learn(m)
	}
	if reply.GetDelta() != nil {
		n.opts.Config.Merge(reply.GetSelf().GetName(), reply.GetDelta())
	}
	n.push(ctx, conn, reply.GetSelf())
}

// push sends the peer what it lacks.
func (n *Node) push(ctx context.Context, conn *grpc.ClientConn, to *peerpb.Member) {
	if to.GetConfigRevision() >= n.opts.Config.Revision() {
		return
	}
	req := &peerpb.ExchangeRequest{Self: n.self(), Delta: n.opts.Config.Delta(to.GetConfigRevision())}
	if _, err := peerpb.NewPeerClient(conn).Exchange(ctx, req); err != nil {
		n.opts.Log.Debug("push failed", "peer", to.GetName(), "err", err)
	}
}

func (n *Node) conn(address string) (*grpc.ClientConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	n.conns[address] = c
	return c, nil
}
