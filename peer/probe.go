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
	// probeTimeout is the timeout of a probe, indirectProbeTimeout that of an
	// indirect probe through a helper.
	probeTimeout         = 500 * time.Millisecond
	indirectProbeTimeout = time.Second
	// syncTimeout is the timeout for exchanging member tables, and for pushing
	// and pulling configuration and signs.
	syncTimeout = 5 * time.Second
	// maxLoads is the maximum number of load reports in a probe message.
	maxLoads = 48
	// leaveTimeout is the timeout for telling peers that this entry is leaving or
	// has stopped.
	leaveTimeout = 300 * time.Millisecond
	// leaveFanout is the number of peers that are told.
	leaveFanout = 3
	// sweepRounds is the number of rounds after which unused connections are
	// closed.
	sweepRounds = 1000
	// maxSurveyCalls is the maximum number of concurrent calls of a Survey.
	maxSurveyCalls = 16
)

// runRounds starts a round of the membership protocol at each interval, or earlier
// after Wake.
func (n *Node) runRounds() {
	ticker := time.NewTicker(n.opts.Heartbeat)
	defer ticker.Stop()
	for round := 1; ; round++ {
		n.step(membership.RoundEvent{Random: random()})
		if round%sweepRounds == 0 {
			n.closeUnusedConns()
		}
		select {
		case <-ticker.C:
		case <-n.wake:
		case <-n.ctx.Done():
			return
		}
	}
}

// perform performs an action of the membership logic that calls a peer.
func (n *Node) perform(a membership.Action) {
	switch a := a.(type) {
	case membership.ProbeAction:
		n.probe(a)
	case membership.IndirectProbeAction:
		reached := n.probeIndirectly(a)
		n.step(membership.IndirectProbeResultEvent{Sequence: a.Sequence, Reached: reached})
	case membership.SyncAction:
		n.sync(a.Address)
	}
}

// probe sends a direct probe and passes the reply or failure to the membership logic.
func (n *Node) probe(a membership.ProbeAction) {
	reply, err := n.call(n.ctx, a.Address, a.Message)
	if err != nil {
		n.opts.Log.Debug("probe failed", "peer", a.Address, "err", err)
		n.step(membership.ProbeFailedEvent{Sequence: a.Sequence, Random: random()})
		return
	}
	n.step(membership.ProbeReplyEvent{Sequence: a.Sequence, Message: messageFromProto(reply)})
	n.mergeReports(reply)
}

// call sends a probe message to a peer and returns its reply.
func (n *Node) call(ctx context.Context, address string, m membership.Message) (*peerpb.ProbeMessage, error) {
	errb := oops.In("peer").With("step", "probe", "peer", address)
	client, err := n.client(address)
	if err != nil {
		return nil, errb.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := client.Probe(ctx, n.probeToProto(m))
	return reply, errb.Wrap(err)
}

// probeIndirectly asks a helper to probe a member and reports whether the helper reached
// it.
func (n *Node) probeIndirectly(a membership.IndirectProbeAction) bool {
	client, err := n.client(a.Helper.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, indirectProbeTimeout)
	defer cancel()
	reply, err := client.ProbeOther(ctx, &peerpb.ProbeOtherRequest{Address: a.Target.Address})
	return err == nil && reply.GetReached()
}

// sync exchanges the complete member tables with a peer.
func (n *Node) sync(address string) {
	client, err := n.client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	reply, err := client.Sync(ctx, n.table())
	if err != nil {
		n.opts.Log.Debug("member table exchange failed", "peer", address, "step", "sync", "err", err)
		return
	}
	n.step(membership.SyncedEvent{Members: membersFromProto(reply.GetMembers())})
}

// table returns the complete member table, starting with this entry.
func (n *Node) table() *peerpb.MemberTable {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &peerpb.MemberTable{Members: []*peerpb.Member{memberToProto(n.core.Self())}}
	for _, m := range n.core.Members() {
		t.Members = append(t.Members, memberToProto(m))
	}
	return t
}

// mergeReports processes the content of a probe message other than membership: the
// sender's configuration revision, load reports, requests in flight and digests.
func (n *Node) mergeReports(m *peerpb.ProbeMessage) {
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
		n.opts.Usages.SetPeer(m.GetFrom().GetName(), m.GetUsages())
	}
	n.compareDigests(m)
}

// Survey probes all live members, so that Live then returns their current configuration
// revisions.
func (n *Node) Survey(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxSurveyCalls)
	for _, m := range n.Live() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			n.probeNow(ctx, m.GetAddress())
		})
	}
	wg.Wait()
}

// probeNow probes a peer outside the rounds.
func (n *Node) probeNow(ctx context.Context, address string) {
	n.mu.Lock()
	m := n.core.MessageWithoutUpdates()
	n.mu.Unlock()
	reply, err := n.call(ctx, address, m)
	if err != nil {
		return
	}
	n.step(membership.ProbeReplyEvent{Message: messageFromProto(reply)})
	n.mergeReports(reply)
}

// announceSelf probes a few peers at once to tell them about a change of this entry.
func (n *Node) announceSelf() {
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range n.leaveTargets() {
		wg.Go(func() { n.probeNow(ctx, address) })
	}
	wg.Wait()
}

// leaveTargets returns the addresses of a few random peers in the own availability zone,
// and in other zones if there are too few.
func (n *Node) leaveTargets() []string {
	own := n.opts.Self.GetAvailabilityZone()
	out := n.pickPeers(leaveFanout, func(zone string) bool { return zone == own })
	others := n.pickPeers(leaveFanout-len(out), func(zone string) bool { return zone != own })
	return append(out, others...)
}

// announceStop tells a few peers that this entry has stopped.
func (n *Node) announceStop() {
	n.step(membership.LeaveEvent{Stopped: true})
	n.announceSelf()
}
