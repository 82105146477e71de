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
	// followSilence is how long a silent owner counts as there.
	followSilence = 2 * time.Second
	// followHeartbeat is the time between updates when nothing changes.
	followHeartbeat = 500 * time.Millisecond
	// holderInterval is the least time between updates of a copy.
	holderInterval = 250 * time.Millisecond
	findTimeout    = 500 * time.Millisecond
	followPause    = 100 * time.Millisecond
)

// errMoved says that an owner gave the request to another entry.
var errMoved = errors.New("request has moved")

// hold keeps the copy of a request up to date until it ends or this entry owns
// it, and takes it over if its owner is lost.
func (e *Entry) hold(rec *Record) {
	for e.background.Err() == nil {
		ctx, cancel := context.WithCancel(e.background)
		owner, ok := rec.follows(cancel)
		if !ok {
			cancel()
			return
		}
		err := e.follow(ctx, rec, owner, holderInterval)
		cancel()
		if err != nil && !errors.Is(err, errMoved) && rec.ownedBy(owner) {
			e.log.Debug("owner is lost", "request_id", rec.ID, "peer", owner.GetName(), "err", err)
			e.replaceOwner(rec, owner)
		}
	}
}

// follows returns the owner to follow; false if there is nothing to follow. After
// the deadline of a request its owner may have forgotten it.
func (r *Record) follows(cancel context.CancelFunc) (*peerpb.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.ownership.role != peerpb.Role_ROLE_HOLDER || time.Now().After(r.deadline) {
		return nil, false
	}
	r.ownership.unfollow = cancel
	return r.ownership.owner, true
}

// ownedBy reports whether a copy still counts an entry as its owner.
func (r *Record) ownedBy(owner *peerpb.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownership.role == peerpb.Role_ROLE_HOLDER && r.ownership.owner.GetName() == owner.GetName()
}

// replaceOwner looks for the owner of a request whose owner was lost: the
// holders that come before this one may have taken over, or will. Only when
// none of them answers does this entry take over itself.
func (e *Entry) replaceOwner(rec *Record, lost *peerpb.Member) {
	v, _ := rec.read(0)
	holders, rank := rec.rank(e.settings.Name)
	if rank < 0 {
		sleep(e.background, followPause)
		return
	}
	asked := append([]*peerpb.Member{lost}, holders[:rank]...)
	replies := e.findAll(asked, rec.ID)
	for _, l := range replies {
		if l.Role != peerpb.Role_ROLE_HOLDER && l.Epoch >= v.epoch && l.at.GetName() != e.settings.Name {
			rec.redirect(l.at, l.Epoch)
			return
		}
	}
	if len(replies) > 0 {
		// A holder that comes first will take over.
		sleep(e.background, followPause)
		return
	}
	e.takeOver(rec, handover.Epoch(v.epoch, rank), asked, holders)
}

// takeOver drives a request whose owner is lost, and tells the entries that
// may come back.
func (e *Entry) takeOver(rec *Record, epoch uint64, asked, holders []*peerpb.Member) {
	if !e.become(rec, epoch, nil) {
		return
	}
	e.metrics.takenOver.Inc(1)
	e.log.Info("request taken over", "request_id", rec.ID, "epoch", epoch)
	told := slices.Concat(asked, holders)
	slices.SortFunc(told, byName)
	told = slices.CompactFunc(told, func(a, b *peerpb.Member) bool { return a.Name == b.Name })
	e.announce(rec.ID, e.peers.Self(), epoch, told)
}

func byName(a, b *peerpb.Member) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// rank returns the holders of a request and the place of one among them, or -1.
func (r *Record) rank(name string) ([]*peerpb.Member, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := r.ownership.holders
	return holders, slices.IndexFunc(holders, func(m *peerpb.Member) bool { return m.Name == name })
}

// located is what a peer knows about a request, and the entry to follow.
type located struct {
	*peerpb.FindReply
	at *peerpb.Member
}

// findAll asks peers about a request at the same time and returns what those
// say that know it.
func (e *Entry) findAll(members []*peerpb.Member, id string) []*located {
	found := make([]*located, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() { found[i], _ = e.find(m, id) })
	}
	calls.Wait()
	return slices.DeleteFunc(found, func(l *located) bool { return l == nil })
}

// find asks a peer about a request; nil if it does not know it. The peer is
// given until the timeout to accept a connection, so that an old failure to
// connect does not count as its loss.
func (e *Entry) find(m *peerpb.Member, id string) (*located, error) {
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
		return &located{reply, reply.Owner}, nil
	}
	return &located{reply, m}, nil
}

// handoverClient returns a client of a peer that tries to connect at once, also
// if connecting failed before.
func (e *Entry) handoverClient(m *peerpb.Member) (peerpb.HandoverClient, error) {
	conn, err := e.peers.Conn(m.GetAddress())
	if err != nil {
		return nil, err
	}
	conn.ResetConnectBackoff()
	return peerpb.NewHandoverClient(conn), nil
}

// follow adds what a peer has of an answer to the record until the answer ends
// (nil), the peer no longer has the request (errMoved), or the peer is silent
// or gone.
func (e *Entry) follow(ctx context.Context, rec *Record, from *peerpb.Member, interval time.Duration) error {
	errb := oops.In("entry").With("step", "follow", "peer", from.GetName())
	client, err := e.handoverClient(from)
	if err != nil {
		return errb.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(followSilence, cancel)
	defer watchdog.Stop()
	v, _ := rec.read(0)
	stream, err := client.Follow(ctx, &peerpb.FollowRequest{
		Id: rec.ID, Offset: uint64(v.total), IntervalMs: uint32(interval.Milliseconds()),
	}, grpc.WaitForReady(true))
	if err != nil {
		return errb.Wrap(err)
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return errb.Wrap(err)
		}
		watchdog.Reset(followSilence)
		switch {
		case update.Role == peerpb.Role_ROLE_MOVED && !update.Done:
			rec.redirect(update.Owner, update.Epoch)
			return errMoved
		case !rec.apply(update):
			return errMoved
		case update.Done:
			return nil
		}
	}
}

// apply adds an update to a copy; it returns false if the record is no longer
// a copy, or the update does not continue it.
func (r *Record) apply(u *peerpb.FollowUpdate) bool {
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
