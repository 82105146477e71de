package peer

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"jaylink/decision/membership"
	"jaylink/peer/peerpb"
)

const (
	// probeTimeout bounds one probe; askTimeout one through a helper.
	probeTimeout = 500 * time.Millisecond
	askTimeout   = time.Second
	// syncTimeout bounds an exchange of whole tables or of configuration.
	syncTimeout = 5 * time.Second
	// maxLoads bounds the load reports in one probe.
	maxLoads = 48
	// leaveTimeout bounds the last messages of an entry that stops.
	leaveTimeout = 300 * time.Millisecond
	// leaveFanout is the number of peers that are told of it.
	leaveFanout = 3
	// sweepRounds is how many rounds there are between two looks for
	// connections that nobody needs.
	sweepRounds = 1000
	// surveyCalls bounds the calls under way at once in a survey.
	surveyCalls = 16
)

// runRounds starts a round at each interval.
func (n *Node) runRounds() {
	ticker := time.NewTicker(n.opts.Heartbeat)
	defer ticker.Stop()
	for round := 1; ; round++ {
		n.step(membership.RoundEvent{Random: random()})
		if round%sweepRounds == 0 {
			n.sweep()
		}
		select {
		case <-ticker.C:
		case <-n.wake:
		case <-n.ctx.Done():
			return
		}
	}
}

// carryOut performs one action of the core that calls a peer.
func (n *Node) carryOut(a membership.Action) {
	switch a := a.(type) {
	case membership.ProbeAction:
		n.probe(a)
	case membership.AskAction:
		reached := n.ask(a)
		n.step(membership.HelpedEvent{Sequence: a.Sequence, Reached: reached})
	case membership.SyncAction:
		n.sync(a.Address)
	}
}

func (n *Node) probe(a membership.ProbeAction) {
	reply, err := n.call(n.ctx, a.Address, a.Message)
	if err != nil {
		n.opts.Log.Debug("probe failed", "peer", a.Address, "err", err)
		n.step(membership.FailedEvent{Sequence: a.Sequence, Random: random()})
		return
	}
	n.step(membership.AnsweredEvent{Sequence: a.Sequence, Message: messageOf(reply)})
	n.heard(reply)
}

// call sends one probe message and returns the answer.
func (n *Node) call(ctx context.Context, address string, m membership.Message) (*peerpb.ProbeMessage, error) {
	errb := oops.In("peer").With("step", "probe", "peer", address)
	client, err := n.client(address)
	if err != nil {
		return nil, errb.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := client.Probe(ctx, n.probeProto(m))
	return reply, errb.Wrap(err)
}

func (n *Node) ask(a membership.AskAction) bool {
	client, err := n.client(a.Helper.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
	defer cancel()
	reply, err := client.ProbeOther(ctx, &peerpb.ProbeOtherRequest{Address: a.Target.Address})
	return err == nil && reply.GetReached()
}

// sync exchanges whole member tables.
func (n *Node) sync(address string) {
	client, err := n.client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	reply, err := client.Sync(ctx, n.table())
	if err != nil {
		n.opts.Log.Debug("member tables were not exchanged", "peer", address, "step", "sync", "err", err)
		return
	}
	n.step(membership.SyncedEvent{Members: membersOf(reply.GetMembers())})
}

func (n *Node) table() *peerpb.MemberTable {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &peerpb.MemberTable{Members: []*peerpb.Member{memberProto(n.core.Self())}}
	for _, m := range n.core.Members() {
		t.Members = append(t.Members, memberProto(m))
	}
	return t
}

// heard takes what a probe message says beside membership.
func (n *Node) heard(m *peerpb.ProbeMessage) {
	if m.GetFrom().GetName() == "" {
		return
	}
	n.mu.Lock()
	n.revisions[m.GetFrom().GetName()] = m.GetFrom().GetConfigRevision()
	n.mu.Unlock()
	if n.opts.Loads != nil && len(m.GetLoads()) > 0 {
		n.opts.Loads.Merge(m.GetLoads())
	}
	if n.opts.Usages != nil {
		n.opts.Usages.Take(m.GetFrom().GetName(), m.GetUsages())
	}
	n.compare(m)
}

// Survey asks every live member for its state, so that Live has the present
// revisions of all.
func (n *Node) Survey(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, surveyCalls)
	for _, m := range n.Live() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			n.greet(ctx, m.GetAddress())
		})
	}
	wg.Wait()
}

// greet sends a probe outside the rounds.
func (n *Node) greet(ctx context.Context, address string) {
	n.mu.Lock()
	m := n.core.Greeting()
	n.mu.Unlock()
	reply, err := n.call(ctx, address, m)
	if err != nil {
		return
	}
	n.step(membership.AnsweredEvent{Message: messageOf(reply)})
	n.heard(reply)
}

// spreadMembership tells a few peers at once about a change of this entry.
func (n *Node) spreadMembership() {
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range n.leavePeers() {
		wg.Go(func() { n.greet(ctx, address) })
	}
	wg.Wait()
}

// leavePeers returns a few peers of the own zone, or of others if there are
// too few.
func (n *Node) leavePeers() []string {
	own := n.opts.Self.GetAvailabilityZone()
	out := n.pickPeers(leaveFanout, func(zone string) bool { return zone == own })
	others := n.pickPeers(leaveFanout-len(out), func(zone string) bool { return zone != own })
	return append(out, others...)
}

// sayLeave tells a few peers that this entry stopped.
func (n *Node) sayLeave() {
	n.step(membership.LeaveEvent{Stopped: true})
	n.spreadMembership()
}
