package peer

import (
	"context"

	"jaylink/decision/membership"
	"jaylink/peer/peerpb"
)

// Probe implements peerpb.PeerServer.
func (n *Node) Probe(_ context.Context, req *peerpb.ProbeMessage) (*peerpb.ProbeMessage, error) {
	reply := n.step(membership.ReceivedEvent{Message: messageFromProto(req)})
	n.mergeReports(req)
	return n.probeToProto(*reply), nil
}

// ProbeOther implements peerpb.PeerServer.
func (n *Node) ProbeOther(ctx context.Context, req *peerpb.ProbeOtherRequest) (*peerpb.ProbeOtherReply, error) {
	n.mu.Lock()
	m := n.core.MessageWithoutUpdates()
	n.mu.Unlock()
	reply, err := n.call(ctx, req.GetAddress(), m)
	if err != nil {
		return &peerpb.ProbeOtherReply{}, nil
	}
	n.step(membership.ProbeReplyEvent{Message: messageFromProto(reply)})
	return &peerpb.ProbeOtherReply{Reached: true}, nil
}

// Sync implements peerpb.PeerServer.
func (n *Node) Sync(_ context.Context, req *peerpb.MemberTable) (*peerpb.MemberTable, error) {
	n.step(membership.SyncedEvent{Members: membersFromProto(req.GetMembers())})
	return n.table(), nil
}

// Pull implements peerpb.PeerServer.
func (n *Node) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.News, error) {
	news := &peerpb.News{From: n.opts.Self.GetName(), Delta: n.opts.Config.Delta(req.GetAfter())}
	if n.opts.Signs != nil {
		news.Signs = n.opts.Signs.All()
	}
	return news, nil
}

// Push implements peerpb.PeerServer.
func (n *Node) Push(_ context.Context, req *peerpb.News) (*peerpb.PushReply, error) {
	n.handleNews(req)
	return &peerpb.PushReply{}, nil
}
