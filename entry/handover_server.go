package entry

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"jaylink/peer/peerpb"
)

// handoverServer serves peers that hand over requests or look for them.
type handoverServer struct {
	peerpb.UnimplementedHandoverServer
	*Entry
}

func (e *Entry) registerHandover(r grpc.ServiceRegistrar) {
	peerpb.RegisterHandoverServer(r, &handoverServer{Entry: e})
}

// Copy implements peerpb.HandoverServer.
func (s *handoverServer) Copy(_ context.Context, req *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	reply := &peerpb.CopyReply{}
	for _, c := range req.Copies {
		if s.storeCopy(c) {
			reply.Accepted = append(reply.Accepted, c.Id)
		}
	}
	return reply, nil
}

// storeCopy stores a copy and follows its owner. An entry that is leaving, or
// that already holds too many bytes of copies, refuses it.
func (s *handoverServer) storeCopy(c *peerpb.RequestCopy) bool {
	if s.leaving.Load() {
		return false
	}
	rec, err := fromCopy(c, time.Now())
	if err != nil {
		return false
	}
	old, added := s.records.addCopy(rec)
	if !added {
		return old != nil && old.updateCopy(c)
	}
	s.work.Go(func() { s.maintainCopy(rec) })
	return true
}

// updateCopy sets the epoch, owner and holders of a copy that is already
// stored.
func (r *Record) updateCopy(c *peerpb.RequestCopy) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.ownership
	if o.role != peerpb.Role_ROLE_HOLDER || o.epoch > c.Epoch {
		return false
	}
	o.holders = c.Holders
	o.epoch = c.Epoch
	o.owner = c.Owner
	return true
}

// Take implements peerpb.HandoverServer.
func (s *handoverServer) Take(_ context.Context, req *peerpb.TakeRequest) (*peerpb.TakeReply, error) {
	rec := s.records.get(req.GetCopy().GetId())
	if rec == nil && !s.leaving.Load() {
		newCopy, err := fromCopy(req.Copy, time.Now())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		rec, _ = s.records.addCopy(newCopy)
	}
	if rec == nil {
		return &peerpb.TakeReply{Owner: s.peers.Self()}, nil
	}
	accepted := !s.leaving.Load() && s.becomeOwner(rec, req.Epoch, req.Copy)
	if accepted {
		s.announce(rec.ID, s.peers.Self(), req.Epoch, req.Copy.Holders)
	}
	v, _ := rec.read(0)
	reply := &peerpb.TakeReply{Accepted: accepted, Owner: v.owner, Epoch: v.epoch}
	if v.role == peerpb.Role_ROLE_OWNER {
		reply.Owner = s.peers.Self()
	}
	return reply, nil
}

// Announce implements peerpb.HandoverServer.
func (s *handoverServer) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	rec := s.records.get(req.Id)
	if rec == nil {
		return &peerpb.AnnounceReply{Epoch: req.Epoch}, nil
	}
	s.handleAnnouncement(rec, req.Owner, req.Epoch)
	v, _ := rec.read(0)
	return &peerpb.AnnounceReply{Epoch: max(v.epoch, req.Epoch)}, nil
}

// Find implements peerpb.HandoverServer.
func (s *handoverServer) Find(_ context.Context, req *peerpb.FindRequest) (*peerpb.FindReply, error) {
	rec := s.records.get(req.Id)
	if rec == nil {
		return &peerpb.FindReply{}, nil
	}
	v, _ := rec.read(0)
	if !v.accepted {
		return &peerpb.FindReply{}, nil
	}
	reply := &peerpb.FindReply{Role: v.role, Epoch: v.epoch, Owner: v.owner, Customer: v.customer, Service: v.service}
	if c := rec.Call.Completion; c != nil {
		reply.Completion = true
		reply.Stream = c.Stream
		reply.Model = c.Model
	}
	return reply, nil
}

// maxFollowText bounds the text in one FollowUpdate, in bytes.
const maxFollowText = 1 << 20

// Follow implements peerpb.HandoverServer.
func (s *handoverServer) Follow(req *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	rec := s.records.get(req.Id)
	if rec == nil {
		return status.Error(codes.NotFound, "no such request")
	}
	if req.Offset > math.MaxInt32 {
		return status.Error(codes.InvalidArgument, "the offset is beyond any answer")
	}
	offset := int(req.Offset)
	for {
		v, changed := rec.read(offset)
		if len(v.text) > maxFollowText {
			part := &peerpb.FollowUpdate{Role: v.role, Epoch: v.epoch, Owner: v.owner, Text: v.text[:maxFollowText], Offset: uint64(offset)}
			if err := stream.Send(part); err != nil {
				return err
			}
			offset += maxFollowText
			continue
		}
		u := s.toUpdate(v)
		u.Offset = uint64(offset)
		offset = max(offset, v.total)
		if err := stream.Send(u); err != nil {
			return err
		}
		if v.done || v.moved() {
			return nil
		}
		if !s.waitForChange(stream.Context(), changed, time.Duration(req.IntervalMs)*time.Millisecond) {
			return status.Error(codes.Unavailable, "the entry stops")
		}
	}
}

// waitForChange waits at least for the given interval and then for a change,
// but no longer than until the next heartbeat is due. It returns false if the
// stream or the entry is ending.
func (s *handoverServer) waitForChange(ctx context.Context, changed <-chan struct{}, interval time.Duration) bool {
	heartbeat := time.NewTimer(followHeartbeat)
	defer heartbeat.Stop()
	sleep(ctx, interval)
	select {
	case <-changed:
	case <-heartbeat.C:
	case <-ctx.Done():
		return false
	case <-s.background.Done():
		return false
	}
	return true
}

func (e *Entry) toUpdate(v view) *peerpb.FollowUpdate {
	u := &peerpb.FollowUpdate{
		Role: v.role, Epoch: v.epoch, Owner: v.owner, Text: v.text, Tokens: uint32(v.tokens), Done: v.done,
	}
	if v.role == peerpb.Role_ROLE_OWNER {
		u.Owner = e.peers.Self()
	}
	if v.done {
		u.Answer = toServiceAnswer(v.answer)
		u.Refusal = toRefusal(v.problem)
		u.FinishReason = v.finishReason
	}
	return u
}

var _ peerpb.HandoverServer = (*handoverServer)(nil)
