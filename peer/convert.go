package peer

import (
	"jaylink/decision/membership"
	"jaylink/peer/peerpb"
)

func memberFromProto(m *peerpb.Member) membership.Member {
	return membership.Member{
		Name:             m.GetName(),
		Address:          m.GetAddress(),
		AvailabilityZone: m.GetAvailabilityZone(),
		Region:           m.GetRegion(),
		CallerAddress:    m.GetCallerAddress(),
		Incarnation:      m.GetIncarnation(),
		State:            membership.State(m.GetState()),
		Leaving:          m.GetLeaving(),
	}
}

func memberToProto(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Name:             m.Name,
		Address:          m.Address,
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		CallerAddress:    m.CallerAddress,
		Incarnation:      m.Incarnation,
		State:            peerpb.State(m.State),
		Leaving:          m.Leaving,
	}
}

func membersFromProto(list []*peerpb.Member) []membership.Member {
	out := make([]membership.Member, 0, len(list))
	for _, m := range list {
		out = append(out, memberFromProto(m))
	}
	return out
}

func messageFromProto(m *peerpb.ProbeMessage) membership.Message {
	return membership.Message{
		From:    memberFromProto(m.GetFrom()),
		Updates: membersFromProto(m.GetUpdates()),
		Digest:  m.GetMemberDigest(),
		Pending: m.GetPending(),
	}
}

// probeToProto converts a membership message and adds the other content of a probe: the
// configuration and sign digests, load reports and requests in flight of this entry.
func (n *Node) probeToProto(m membership.Message) *peerpb.ProbeMessage {
	out := &peerpb.ProbeMessage{
		From:         memberToProto(m.From),
		MemberDigest: m.Digest,
		Pending:      m.Pending,
		ConfigDigest: n.opts.Config.Digest(),
		ConfigKnown:  n.opts.Config.Known(),
	}
	out.From.ConfigRevision = n.opts.Config.Revision()
	for _, u := range m.Updates {
		out.Updates = append(out.Updates, memberToProto(u))
	}
	if n.opts.Signs != nil {
		out.SignDigest = n.opts.Signs.Digest()
	}
	if n.opts.Loads != nil {
		out.Loads = n.opts.Loads.Newest(maxLoads)
	}
	if n.opts.Usages != nil {
		out.Usages = n.opts.Usages.Own()
	}
	return out
}
