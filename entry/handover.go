package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"jaylink/decision"
	"jaylink/decision/handover"
	"jaylink/peer/peerpb"
)

const (
	// evacuateInterval is the time between two looks at what is in flight.
	evacuateInterval = 50 * time.Millisecond
	copyTimeout      = 2 * time.Second
	takeTimeout      = time.Second
	// copyBatch bounds the copies in one message, in bytes, where there is
	// more than one.
	copyBatch = 1 << 20
	// maxCopy bounds the request that is handed over, prompt and answer so
	// far, in bytes.
	maxCopy = 5 << 20
	// maxHandovers bounds the handovers under way.
	maxHandovers = 64
)

// evacuation moves the requests of an entry that has to stop by a deadline to
// peers. It first puts copies of all of them on two peers, then hands over
// those that will not end in time, one by one.
type evacuation struct {
	*Entry
	deadline time.Time
	slots    chan struct{}
	// link is what may still be sent to other regions, in bytes.
	link int

	mu sync.Mutex
	// unreachable has the peers that failed a call or refused a copy.
	unreachable map[string]bool
}

func (e *Entry) newEvacuation(deadline time.Time) *evacuation {
	return &evacuation{
		Entry: e, deadline: deadline,
		slots: make(chan struct{}, maxHandovers), unreachable: map[string]bool{},
		link: int(float64(e.settings.Recovery.Link) * linkTime.Seconds() / float64(1+len(e.peers.Live()))),
	}
}

// run stops accepting after a delay, and works until nothing is in flight or
// ctx is done.
func (ev *evacuation) run(ctx context.Context, delay time.Duration) {
	var moves sync.WaitGroup
	defer moves.Wait()
	stopAccepting := time.Now().Add(delay)
	draining := false
	for {
		if !draining && !time.Now().Before(stopAccepting) {
			ev.driver.step(decision.DrainEvent{})
			draining = true
		}
		list := ev.records.movable()
		ev.copyAll(ctx, list)
		for _, rec := range list {
			if ev.keeps(rec) || !rec.beginRelease() {
				continue
			}
			ev.slots <- struct{}{}
			moves.Go(func() {
				defer func() { <-ev.slots }()
				ev.handOver(ctx, rec)
			})
		}
		n, _ := ev.records.inFlight()
		if n == 0 && draining || ctx.Err() != nil {
			return
		}
		sleep(ctx, evacuateInterval)
	}
}

// keeps reports whether a request will end here in time.
func (ev *evacuation) keeps(rec *Record) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a := rec.attempt
	p := handover.Progress{Dispatched: a.running(), Generated: a.tokens}
	if p.Dispatched {
		p.Running = time.Since(a.began)
	}
	if c := rec.Call.Completion; c != nil {
		p.Left = c.MaxTokens - rec.tokens
	}
	return handover.Keep(time.Until(ev.deadline), p)
}

// copyAll puts copies on the holders of all requests, all copies for one peer
// at once.
func (ev *evacuation) copyAll(ctx context.Context, list []*Record) {
	members, peers := ev.reachable()
	batches := map[string][]*Record{}
	for _, rec := range list {
		if handover.Valid(rec.holderNames(), peers) {
			continue
		}
		holders := pick(members, ev.holders(rec, peers))
		if !rec.setHolders(holders) {
			continue
		}
		for _, h := range holders {
			batches[h.Name] = append(batches[h.Name], rec)
		}
	}
	var calls sync.WaitGroup
	for name, records := range batches {
		calls.Go(func() { ev.copyTo(ctx, members[name], records) })
	}
	calls.Wait()
}

// linkTime is how long the copies of an evacuation may take up the share of the
// link between regions that is set aside for moves.
const linkTime = 2 * time.Second

// holders chooses the holders of a request. A copy goes to another region only
// while the link has room for it.
func (ev *evacuation) holders(rec *Record, peers []handover.Peer) []handover.Peer {
	all := handover.Holders(rec.ID, ev.place(), peers)
	if !handover.Spans(ev.place(), all) {
		return all
	}
	near := handover.Near(ev.place(), peers)
	nearHolders := handover.Holders(rec.ID, ev.place(), near)
	if len(nearHolders) == 0 || ev.spendLink(rec.size()) {
		return all
	}
	return nearHolders
}

// spendLink takes bytes from what the evacuation may send to other regions.
func (ev *evacuation) spendLink(bytes int) bool {
	if bytes > ev.link {
		return false
	}
	ev.link -= bytes
	return true
}

// copyTo sends copies to one peer, in messages of bounded size.
func (ev *evacuation) copyTo(ctx context.Context, to *peerpb.Member, records []*Record) {
	self := ev.peers.Self()
	var batch []*peerpb.RequestCopy
	size := 0
	for _, rec := range records {
		c := rec.toCopy(self)
		if size > 0 && size+copySize(c) > copyBatch {
			if !ev.sendCopies(ctx, to, batch) {
				ev.lose(to, records)
				return
			}
			batch, size = nil, 0
		}
		batch = append(batch, c)
		size += copySize(c)
	}
	if !ev.sendCopies(ctx, to, batch) {
		ev.lose(to, records)
	}
}

func copySize(c *peerpb.RequestCopy) int { return len(c.Body) + len(c.Text) }

func (ev *evacuation) sendCopies(ctx context.Context, to *peerpb.Member, batch []*peerpb.RequestCopy) bool {
	client, err := ev.handoverClient(to)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := client.Copy(ctx, &peerpb.CopyRequest{Copies: batch}, grpc.WaitForReady(true))
	if err != nil {
		ev.log.Warn("copies were not stored", "step", "copy", "peer", to.Name, "err", err)
		return false
	}
	ev.metrics.copied.Inc(int64(len(reply.Accepted)))
	return len(reply.Accepted) == len(batch)
}

// lose leaves a peer out from now on; its requests get other holders in the
// next round.
func (ev *evacuation) lose(to *peerpb.Member, records []*Record) {
	ev.mu.Lock()
	ev.unreachable[to.Name] = true
	ev.mu.Unlock()
	for _, rec := range records {
		rec.update(func() { rec.ownership.holders = nil })
	}
}

// reachable returns the peers that may take requests.
func (ev *evacuation) reachable() (map[string]*peerpb.Member, []handover.Peer) {
	members, peers := ev.knownPeers()
	ev.mu.Lock()
	defer ev.mu.Unlock()
	for i := range peers {
		peers[i].Leaving = peers[i].Leaving || ev.unreachable[peers[i].Name]
	}
	return members, peers
}

// knownPeers returns the live peers, by name and as the decisions see them.
func (e *Entry) knownPeers() (map[string]*peerpb.Member, []handover.Peer) {
	members := map[string]*peerpb.Member{}
	var peers []handover.Peer
	for _, m := range e.peers.Live() {
		members[m.Name] = m
		peers = append(peers, handover.Peer{
			Name: m.Name, Zone: m.AvailabilityZone, Region: m.Region,
			Leaving: m.Leaving || e.reclaims.has(m.Name),
		})
	}
	return members, peers
}

func (e *Entry) place() handover.Place {
	return handover.Place{Zone: e.settings.AvailabilityZone, Region: e.settings.Region}
}

func pick(members map[string]*peerpb.Member, peers []handover.Peer) []*peerpb.Member {
	var out []*peerpb.Member
	for _, p := range peers {
		out = append(out, members[p.Name])
	}
	return out
}

// handOver stops driving a request and offers it to its holders, then to the
// other peers, until one takes it. If none does, this entry goes on with it.
func (ev *evacuation) handOver(ctx context.Context, rec *Record) {
	defer rec.update(func() { rec.ownership.releasing = false })
	if !ev.suspend(ctx, rec) {
		return
	}
	v, _ := rec.read(0)
	members, peers := ev.reachable()
	order := rec.takers(pick(members, handover.Candidates(rec.ID, ev.place(), peers)))
	for rank, to := range order {
		epoch := handover.Epoch(v.epoch, rank)
		reply, err := ev.offer(ctx, to, rec, epoch)
		if err != nil {
			ev.log.Warn("peer did not take the request", "request_id", rec.ID, "step", "take", "peer", to.Name, "err", err)
			continue
		}
		if reply.Accepted || reply.Epoch > v.epoch && reply.Owner.GetName() != ev.settings.Name {
			ev.moveTo(rec, reply.Owner, max(reply.Epoch, epoch))
			ev.announce(rec.ID, reply.Owner, max(reply.Epoch, epoch), order[:rank])
			return
		}
	}
	ev.takeBack(rec, handover.Epoch(v.epoch, len(order)))
}

// takeBack goes on with a request that no peer took, if none has taken it over
// meanwhile.
func (ev *evacuation) takeBack(rec *Record, epoch uint64) {
	ev.log.Warn("no peer took the request", "request_id", rec.ID, "step", "take")
	full := rec.toCopy(nil)
	rec.mu.Lock()
	if rec.done || rec.ownership.role != peerpb.Role_ROLE_OWNER {
		rec.mu.Unlock()
		return
	}
	rec.ownership.epoch = epoch
	rec.ownership.holders = nil
	rec.attempt = attempt{id: attemptID{epoch: epoch}}
	rec.mu.Unlock()
	ev.drive(rec, full)
}

func (e *Entry) offer(ctx context.Context, to *peerpb.Member, rec *Record, epoch uint64) (*peerpb.TakeReply, error) {
	client, err := e.handoverClient(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return client.Take(ctx, &peerpb.TakeRequest{Copy: rec.toCopy(e.peers.Self()), Epoch: epoch}, grpc.WaitForReady(true))
}

const (
	announceTimeout = time.Second
	// announcePause is the first pause before an announcement is repeated; it
	// doubles up to the maximum.
	announcePause    = 250 * time.Millisecond
	maxAnnouncePause = 8 * time.Second
)

// announce tells entries that may believe that they own a request who owns it,
// in the background, until each has answered or the request is forgotten.
func (e *Entry) announce(id string, owner *peerpb.Member, epoch uint64, to []*peerpb.Member) {
	for _, m := range to {
		if m.GetName() == e.settings.Name || m.GetName() == owner.GetName() {
			continue
		}
		e.work.Go(func() {
			pause := announcePause
			for e.announceOnce(id, owner, epoch, m) != nil && e.records.get(id) != nil && e.background.Err() == nil {
				sleep(e.background, pause)
				pause = min(2*pause, maxAnnouncePause)
			}
		})
	}
}

func (e *Entry) announceOnce(id string, owner *peerpb.Member, epoch uint64, to *peerpb.Member) error {
	client, err := e.handoverClient(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.background, announceTimeout)
	defer cancel()
	_, err = client.Announce(ctx, &peerpb.AnnounceRequest{Id: id, Epoch: epoch, Owner: owner}, grpc.WaitForReady(true))
	return err
}

// beginRelease marks a request as being handed over. It returns false if it
// may not be: it has ended, it is being handed over, or its copies are not
// stored yet.
func (r *Record) beginRelease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.ownership
	if r.done || o.releasing || o.role != peerpb.Role_ROLE_OWNER || len(o.holders) == 0 {
		return false
	}
	o.releasing = true
	return true
}

// holderNames returns who holds copies.
func (r *Record) holderNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.ownership.holders {
		out = append(out, h.Name)
	}
	return out
}

// setHolders notes who holds copies; it returns false if nothing changed.
func (r *Record) setHolders(holders []*peerpb.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := slices.EqualFunc(r.ownership.holders, holders, func(a, b *peerpb.Member) bool { return a.Name == b.Name })
	if same || r.ownership.releasing {
		return false
	}
	r.ownership.holders = holders
	return true
}

// takers returns the holders of copies, then the other candidates.
func (r *Record) takers(candidates []*peerpb.Member) []*peerpb.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.ownership.holders)
	for _, c := range candidates {
		if !slices.ContainsFunc(out, func(m *peerpb.Member) bool { return m.Name == c.Name }) {
			out = append(out, c)
		}
	}
	return out
}
