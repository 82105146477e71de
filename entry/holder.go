package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"jaylink/decision/handover"
	"jaylink/peer/peerpb"
)

const (
	// followTimeout is how long an owner may be silent before it counts as
	// lost.
	followTimeout = 2 * time.Second
	// followHeartbeat is the interval between updates while nothing
	// changes.
	followHeartbeat = 500 * time.Millisecond
	// copyUpdateInterval is the minimum interval between updates of a copy.
	copyUpdateInterval = 250 * time.Millisecond
	findTimeout        = 500 * time.Millisecond
	followRetryDelay   = 100 * time.Millisecond
)

// errMoved means that the followed entry no longer provides the answer, usually
// because it handed the request to another entry.
var errMoved = errors.New("request has moved")

// maintainCopy keeps the copy of a request up to date until the request ends or
// this entry owns it. If the owner is lost, it takes the request over.
func (e *Entry) maintainCopy(rec *Record) {
	for e.background.Err() == nil {
		ctx, cancel := context.WithCancel(e.background)
		owner, ok := rec.startFollowing(cancel)
		if !ok {
			cancel()
			return
		}
		err := e.follow(ctx, rec, owner, copyUpdateInterval)
		cancel()
		if err != nil && !errors.Is(err, errMoved) && rec.followsOwner(owner) {
			e.log.Debug("owner is lost", "request_id", rec.ID, "peer", owner.GetName(), "err", err)
			e.recoverOwner(rec, owner)
		}
	}
}

// startFollowing returns the owner to follow and stores the function that stops
// following it. It returns false if there is nothing to follow; after a
// request's deadline, its owner may have deleted the record.
func (r *Record) startFollowing(cancel context.CancelFunc) (*peerpb.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.ownership.role != peerpb.Role_ROLE_HOLDER || time.Now().After(r.deadline) {
		return nil, false
	}
	r.ownership.stopFollowing = cancel
	return r.ownership.owner, true
}

// followsOwner reports whether the record is a copy that still has the given
// entry as its owner.
func (r *Record) followsOwner(owner *peerpb.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownership.role == peerpb.Role_ROLE_HOLDER && r.ownership.owner.GetName() == owner.GetName()
}

// recoverOwner finds the new owner of a request whose owner was lost. Any holder
// may have been handed the request, and those that precede this one may be about to
// take it over. This entry takes it over only if none owns it, and neither the lost owner
// nor a preceding holder replies that it has a copy.
func (e *Entry) recoverOwner(rec *Record, lost *peerpb.Member) {
	v, _ := rec.read(0)
	holders, rank := rec.rank(e.settings.Name)
	if rank < 0 {
		sleep(e.background, followRetryDelay)
		return
	}
	preceding := append([]*peerpb.Member{lost}, holders[:rank]...)
	var following sync.WaitGroup
	var others []*requestLocation
	following.Go(func() { others = e.findAll(holders[rank+1:], rec.ID) })
	replies := e.findAll(preceding, rec.ID)
	following.Wait()
	for _, l := range slices.Concat(replies, others) {
		if l.Role != peerpb.Role_ROLE_HOLDER && l.Epoch >= v.epoch && l.entry.GetName() != e.settings.Name {
			rec.followNewOwner(l.entry, l.Epoch)
			return
		}
	}
	if len(replies) > 0 {
		// A holder that precedes this one will take over.
		sleep(e.background, followRetryDelay)
		return
	}
	e.takeOver(rec, handover.Epoch(v.epoch, rank), preceding, holders)
}

// takeOver makes this entry the owner of a request whose owner is lost, and
// announces that to the entries that may return and consider themselves the
// owner.
func (e *Entry) takeOver(rec *Record, epoch uint64, preceding, holders []*peerpb.Member) {
	if !e.becomeOwner(rec, epoch, nil) {
		return
	}
	e.metrics.takenOver.Inc(1)
	e.log.Info("request taken over", "request_id", rec.ID, "epoch", epoch)
	recipients := slices.Concat(preceding, holders)
	slices.SortFunc(recipients, compareNames)
	recipients = slices.CompactFunc(recipients, func(a, b *peerpb.Member) bool { return a.Name == b.Name })
	e.announce(rec.ID, e.peers.Self(), epoch, recipients)
}

func compareNames(a, b *peerpb.Member) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// rank returns the holders of a request and the index of the named entry among
// them, or -1.
func (r *Record) rank(name string) ([]*peerpb.Member, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := r.ownership.holders
	return holders, slices.IndexFunc(holders, func(m *peerpb.Member) bool { return m.Name == name })
}

// requestLocation is a peer's reply about a request, with the entry to follow.
type requestLocation struct {
	*peerpb.FindReply
	entry *peerpb.Member
}

// findAll asks peers about a request in parallel and returns the replies of
// those that know it.
func (e *Entry) findAll(members []*peerpb.Member, id string) []*requestLocation {
	found := make([]*requestLocation, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() { found[i], _ = e.find(m, id) })
	}
	calls.Wait()
	return slices.DeleteFunc(found, func(l *requestLocation) bool { return l == nil })
}

// find asks a peer about a request and returns nil if the peer does not know
// it. The call waits for a connection until its timeout, so that an earlier
// failure to connect does not count as the loss of the peer.
func (e *Entry) find(m *peerpb.Member, id string) (*requestLocation, error) {
	client, err := e.handoverClient(m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(e.background, findTimeout)
	defer cancel()
	reply, err := client.Find(ctx, &peerpb.FindRequest{Id: id}, grpc.WaitForReady(true))
	switch {
	case err != nil:
		return nil, err
	case reply.Role == peerpb.Role_ROLE_NONE:
		return nil, nil
	case reply.Role == peerpb.Role_ROLE_MOVED:
		return &requestLocation{reply, reply.Owner}, nil
	}
	return &requestLocation{reply, m}, nil
}

// handoverClient returns a client of a peer that connects at once, without the
// backoff after an earlier failure to connect.
func (e *Entry) handoverClient(m *peerpb.Member) (peerpb.HandoverClient, error) {
	conn, err := e.peers.Conn(m.GetAddress())
	if err != nil {
		return nil, err
	}
	conn.ResetConnectBackoff()
	return peerpb.NewHandoverClient(conn), nil
}

// follow copies the answer of a request from a peer to the record until the
// answer ends (nil), the peer no longer provides it (errMoved), or the peer is
// silent or unreachable.
func (e *Entry) follow(ctx context.Context, rec *Record, from *peerpb.Member, interval time.Duration) error {
	errBuilder := oops.In("entry").With("step", "follow", "peer", from.GetName())
	client, err := e.handoverClient(from)
	if err != nil {
		return errBuilder.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(followTimeout, cancel)
	defer watchdog.Stop()
	v, _ := rec.read(0)
	stream, err := client.Follow(ctx, &peerpb.FollowRequest{
		Id: rec.ID, Offset: uint64(v.total), IntervalMs: uint32(interval.Milliseconds()),
	}, grpc.WaitForReady(true))
	if err != nil {
		return errBuilder.Wrap(err)
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return errBuilder.Wrap(err)
		}
		watchdog.Reset(followTimeout)
		switch {
		case update.Role == peerpb.Role_ROLE_MOVED && !update.Done:
			rec.followNewOwner(update.Owner, update.Epoch)
			return errMoved
		case !rec.applyUpdate(update):
			return errMoved
		case update.Done:
			return nil
		}
	}
}

// applyUpdate applies an update to a copy. It returns false if the record is no
// longer a copy, or if the update does not continue its text.
func (r *Record) applyUpdate(u *peerpb.FollowUpdate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownership.role != peerpb.Role_ROLE_HOLDER {
		return false
	}
	if u.Role == peerpb.Role_ROLE_OWNER {
		r.ownership.epoch = max(r.ownership.epoch, u.Epoch)
	}
	if len(u.Text) == 0 && !u.Done {
		return true
	}
	if u.Offset != uint64(len(r.text)) {
		return false
	}
	r.text = append(r.text, u.Text...)
	r.tokens = max(r.tokens, int(u.Tokens))
	if u.Done {
		r.answer = fromServiceAnswer(u.Answer)
		r.problem = fromRefusal(u.Refusal)
		r.finishReason = u.FinishReason
		r.done = true
		r.ended = time.Now()
	}
	r.notify()
	return true
}
