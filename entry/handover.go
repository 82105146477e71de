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
	// evacuateInterval is the interval between two checks of the requests
	// in flight.
	evacuateInterval = 50 * time.Millisecond
	copyTimeout      = 2 * time.Second
	takeTimeout      = time.Second
	// maxCopyBatch bounds the size in bytes of a message with more than one
	// copy.
	maxCopyBatch = 1 << 20
	// maxHandoverSize bounds the size of a request that can be handed over:
	// body and answer so far, in bytes.
	maxHandoverSize = 5 << 20
	// maxHandovers bounds the number of concurrent handovers.
	maxHandovers = 64
)

// evacuation moves the requests of an entry that has to stop by a deadline to
// its peers. It first copies all requests to two peers each, and then hands
// over those that will not end in time, one by one.
type evacuation struct {
	*Entry
	deadline time.Time
	slots    chan struct{} // semaphore for concurrent handovers
	// linkBytesLeft is the number of bytes that may still be sent to other
	// regions.
	linkBytesLeft int

	mu sync.Mutex
	// unreachable holds the peers to which a call failed or that refused a
	// copy.
	unreachable map[string]bool
}

func (e *Entry) newEvacuation(deadline time.Time) *evacuation {
	return &evacuation{
		Entry: e, deadline: deadline,
		slots: make(chan struct{}, maxHandovers), unreachable: map[string]bool{},
		linkBytesLeft: int(float64(e.settings.Recovery.Link) * maxLinkTime.Seconds() / float64(1+len(e.peers.Live()))),
	}
}

// run stops accepting requests after a delay. It returns once nothing is in
// flight or ctx is done.
func (ev *evacuation) run(ctx context.Context, delay time.Duration) {
	var handovers sync.WaitGroup
	defer handovers.Wait()
	stopAccepting := time.Now().Add(delay)
	draining := false
	for {
		if !draining && !time.Now().Before(stopAccepting) {
			ev.driver.step(decision.DrainEvent{})
			draining = true
		}
		list := ev.records.transferable()
		ev.copyAll(ctx, list)
		for _, rec := range list {
			if ev.finishesInTime(rec) || !rec.beginRelease() {
				continue
			}
			ev.slots <- struct{}{}
			handovers.Go(func() {
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

// finishesInTime reports whether a request is expected to end on this entry
// before the deadline.
func (ev *evacuation) finishesInTime(rec *Record) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a := rec.attempt
	p := handover.Progress{Dispatched: a.running(), Generated: a.tokens}
	if p.Dispatched {
		p.Running = time.Since(a.startedAt)
	}
	if c := rec.Call.Completion; c != nil {
		p.Left = c.MaxTokens - rec.tokens
	}
	return handover.FinishesInTime(time.Until(ev.deadline), p)
}

// copyAll sends copies of all requests to their holders, in batches for each
// peer.
func (ev *evacuation) copyAll(ctx context.Context, list []*Record) {
	members, peers := ev.reachable()
	batches := map[string][]plannedCopy{}
	for _, rec := range list {
		if handover.HoldersValid(rec.holderNames(), peers) {
			continue
		}
		holders := membersOf(members, ev.chooseHolders(rec, peers))
		if !rec.setHolders(holders) {
			continue
		}
		for _, h := range holders {
			batches[h.Name] = append(batches[h.Name], plannedCopy{rec, holders})
		}
	}
	var calls sync.WaitGroup
	for name, copies := range batches {
		calls.Go(func() { ev.copyTo(ctx, members[name], copies) })
	}
	calls.Wait()
}

// plannedCopy is a request that is to be copied, with the holders that were chosen for it. The
// record may get others before the copy is sent.
type plannedCopy struct {
	rec     *Record
	holders []*peerpb.Member
}

// maxLinkTime bounds how long the copies of an evacuation may use this entry's
// share of recovery.link, the bandwidth between regions that is reserved for
// moves.
const maxLinkTime = 2 * time.Second

// chooseHolders returns the peers that get a copy of a request. Where this
// region has peers, a copy goes to another region only while linkBytesLeft
// allows it.
func (ev *evacuation) chooseHolders(rec *Record, peers []handover.Peer) []handover.Peer {
	all := handover.Holders(rec.ID, ev.ownLocation(), peers)
	if !handover.CrossesRegions(ev.ownLocation(), all) {
		return all
	}
	sameRegion := handover.SameRegion(ev.ownLocation(), peers)
	sameRegionHolders := handover.Holders(rec.ID, ev.ownLocation(), sameRegion)
	if len(sameRegionHolders) == 0 || ev.reserveLinkBytes(rec.size()) {
		return all
	}
	return sameRegionHolders
}

// reserveLinkBytes takes bytes from linkBytesLeft. It returns false if too few
// are left.
func (ev *evacuation) reserveLinkBytes(bytes int) bool {
	if bytes > ev.linkBytesLeft {
		return false
	}
	ev.linkBytesLeft -= bytes
	return true
}

// copyTo sends copies to one peer, in messages of bounded size.
func (ev *evacuation) copyTo(ctx context.Context, to *peerpb.Member, copies []plannedCopy) {
	self := ev.peers.Self()
	var batch []*peerpb.RequestCopy
	size := 0
	for _, planned := range copies {
		c := planned.rec.toCopy(self)
		c.Holders = planned.holders
		if size > 0 && size+copySize(c) > maxCopyBatch {
			if !ev.sendCopies(ctx, to, batch) {
				ev.excludePeer(to, copies)
				return
			}
			batch, size = nil, 0
		}
		batch = append(batch, c)
		size += copySize(c)
	}
	if !ev.sendCopies(ctx, to, batch) {
		ev.excludePeer(to, copies)
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

// excludePeer excludes a peer from the rest of the evacuation. The requests
// that were to be copied to it get other holders in the next round.
func (ev *evacuation) excludePeer(to *peerpb.Member, copies []plannedCopy) {
	ev.mu.Lock()
	ev.unreachable[to.Name] = true
	ev.mu.Unlock()
	for _, planned := range copies {
		planned.rec.update(func() { planned.rec.ownership.holders = nil })
	}
}

// reachable returns the live peers, with the unreachable ones marked as leaving
// so that they get no requests.
func (ev *evacuation) reachable() (map[string]*peerpb.Member, []handover.Peer) {
	members, peers := ev.livePeers()
	ev.mu.Lock()
	defer ev.mu.Unlock()
	for i := range peers {
		peers[i].Leaving = peers[i].Leaving || ev.unreachable[peers[i].Name]
	}
	return members, peers
}

// livePeers returns the live peers, as members by name and as the input of
// package handover.
func (e *Entry) livePeers() (map[string]*peerpb.Member, []handover.Peer) {
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

func (e *Entry) ownLocation() handover.Location {
	return handover.Location{Zone: e.settings.AvailabilityZone, Region: e.settings.Region}
}

func membersOf(members map[string]*peerpb.Member, peers []handover.Peer) []*peerpb.Member {
	var out []*peerpb.Member
	for _, p := range peers {
		out = append(out, members[p.Name])
	}
	return out
}

// handOver stops driving a request and offers it to its holders, then to the
// other peers, until one takes it. If none does, this entry resumes the
// request.
func (ev *evacuation) handOver(ctx context.Context, rec *Record) {
	defer rec.update(func() { rec.ownership.releasing = false })
	if !ev.suspend(ctx, rec) {
		return
	}
	v, _ := rec.read(0)
	members, peers := ev.reachable()
	targets := rec.handoverTargets(membersOf(members, handover.Candidates(rec.ID, ev.ownLocation(), peers)))
	for rank, to := range targets {
		epoch := handover.Epoch(v.epoch, rank)
		reply, err := ev.offer(ctx, to, rec, epoch)
		if err != nil {
			ev.log.Warn("peer did not take the request", "request_id", rec.ID, "step", "take", "peer", to.Name, "err", err)
			continue
		}
		if reply.Accepted || reply.Epoch > v.epoch && reply.Owner.GetName() != ev.settings.Name {
			ev.markMoved(rec, reply.Owner, max(reply.Epoch, epoch))
			ev.announce(rec.ID, reply.Owner, max(reply.Epoch, epoch), targets[:rank])
			return
		}
	}
	ev.resumeUntaken(rec, handover.Epoch(v.epoch, len(targets)))
}

// resumeUntaken resumes a request that no peer took, unless a peer has taken it
// over in the meantime.
func (ev *evacuation) resumeUntaken(rec *Record, epoch uint64) {
	ev.log.Warn("no peer took the request", "request_id", rec.ID, "step", "take")
	fullCopy := rec.toCopy(nil)
	rec.mu.Lock()
	if rec.done || rec.ownership.role != peerpb.Role_ROLE_OWNER {
		rec.mu.Unlock()
		return
	}
	rec.ownership.epoch = epoch
	rec.ownership.holders = nil
	rec.attempt = attempt{id: attemptID{epoch: epoch}}
	rec.mu.Unlock()
	ev.startDriving(rec, fullCopy)
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
	// announceBackoff is the delay before an announcement is first
	// repeated. It doubles with each repetition, up to maxAnnounceBackoff.
	announceBackoff    = 250 * time.Millisecond
	maxAnnounceBackoff = 8 * time.Second
)

// announce tells entries that may consider themselves the owner of a request
// who owns it. It runs in the background and repeats each announcement until
// the entry replies or the request's record has expired.
func (e *Entry) announce(id string, owner *peerpb.Member, epoch uint64, to []*peerpb.Member) {
	for _, m := range to {
		if m.GetName() == e.settings.Name || m.GetName() == owner.GetName() {
			continue
		}
		e.work.Go(func() {
			pause := announceBackoff
			for e.announceOnce(id, owner, epoch, m) != nil && e.records.get(id) != nil && e.background.Err() == nil {
				sleep(e.background, pause)
				pause = min(2*pause, maxAnnounceBackoff)
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

// beginRelease marks a request as being handed over. It returns false if the
// request has ended, is already being handed over, is driven by another entry,
// or has no holders.
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

// holderNames returns the names of the entries with copies.
func (r *Record) holderNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.ownership.holders {
		out = append(out, h.Name)
	}
	return out
}

// setHolders sets the entries with copies. It returns false if they are the
// same as before or the request is being handed over.
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

// handoverTargets returns the entries to which a request is offered: the
// holders of its copies, then the other candidates.
func (r *Record) handoverTargets(candidates []*peerpb.Member) []*peerpb.Member {
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
