package gateway

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// hedgeDelay is how long a fetch may take before another peer is asked as well. The
	// kernel of a frozen peer accepts connections, but no answer ever comes.
	hedgeDelay = 100 * time.Millisecond
	// maxFetches limits the fetches of one replica that are under way at the same time.
	maxFetches = 4
	// farPenalty is how much later a peer in another region has to have announced its
	// version than one in this region to be asked first.
	farPenalty = 2 * farRoundInterval * minGossipInterval
	// sourceExpiry is how long a peer that has become silent is still asked.
	sourceExpiry = 2 * loadExpiry
	// directReadDelay is how long peers have to deliver a change before it is read from the
	// store. The pause doubles with each read up to maxDirectReadPause.
	directReadDelay    = 500 * time.Millisecond
	maxDirectReadPause = 30 * time.Second
)

// replica keeps this entry's copy of one kind of data up to date with the versions that
// peers announce. While a fetch from one peer takes longer than hedgeDelay, the next one is
// asked, so that a silent peer holds up nothing that others can deliver.
type replica struct {
	replicaSource
	// hedged counts fetches that were started while another one was under way.
	hedged func()
	// guard runs the function of a background goroutine.
	guard func(func())

	// mu guards the fields below. It is locked before Gateway.mu.
	mu    sync.Mutex
	peers map[string]*announcement
	// running is set while a goroutine fetches.
	running bool
	// changed wakes that goroutine.
	changed chan struct{}
}

// replicaSource is where a replica gets its data from.
type replicaSource interface {
	// behind reports whether a peer has announced a newer version than this entry has.
	behind(gossipMessage) bool
	// ownWatchDelay returns how long this entry's own watch has to deliver a change first.
	ownWatchDelay() time.Duration
	// isFar reports whether a peer is in another region.
	isFar(gossipMessage) bool
	// fetch fetches the version of a peer. It returns nil on failure.
	fetch(context.Context, gossipMessage) applier
	// read reads the data from the store. It returns nil on failure.
	read(context.Context) applier
}

// applier applies data. The context is that of the gateway: what the data changes may outlast
// the fetch by far.
type applier func(context.Context)

// announcement is the newest version that a peer has announced.
type announcement struct {
	gossipMessage
	heardAt, askedAt time.Time
	// newSince is when the peer announced the first version that this entry still lacks.
	newSince time.Time
	fetching bool
}

func newReplica(from replicaSource, hedged func(), guard func(func())) *replica {
	return &replica{replicaSource: from, hedged: hedged, guard: guard, peers: map[string]*announcement{}, changed: make(chan struct{}, 1)}
}

// announce records the version that a peer has announced, and has it fetched in the
// background if this entry's copy is older.
func (r *replica) announce(ctx context.Context, m gossipMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.behind(m) {
		return
	}
	now := time.Now()
	a := r.peers[m.Entry]
	if a == nil || !r.behind(a.gossipMessage) {
		a = &announcement{newSince: now}
		r.peers[m.Entry] = a
	}
	a.gossipMessage, a.heardAt = m, now
	if r.running {
		signal(r.changed)
		return
	}
	r.running = true
	go r.guard(func() { r.catchUp(ctx) })
}

// catchUp fetches until no peer has a newer version.
func (r *replica) catchUp(ctx context.Context) {
	run := catchUpRun{replica: r, gateway: ctx, readPause: directReadDelay}
	// Fetches that are still under way at the end are of no use.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	caughtUp := false
	defer func() {
		// Otherwise step has done so.
		if !caughtUp {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.running = false
		}
	}()
	for ctx.Err() == nil {
		var wait time.Duration
		if wait, caughtUp = run.step(ctx); caughtUp {
			return
		}
		await(ctx, wait, r.changed)
	}
}

// catchUpRun is the state of one catchUp.
type catchUpRun struct {
	*replica
	// gateway is the context of the gateway, with which data is applied.
	gateway             context.Context
	lastFetch, nextRead time.Time
	readPause           time.Duration
	reading             bool
}

// step starts what is due and returns the time until something else may be. It reports
// whether no peer has a newer version; another catchUp may be started then.
func (r *catchUpRun) step(ctx context.Context) (wait time.Duration, caughtUp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.dropAnnouncements(now)
	if len(r.peers) == 0 {
		r.running = false
		return 0, true
	}
	due := r.newSince().Add(r.ownWatchDelay())
	if now.Before(due) {
		return due.Sub(now), false
	}
	return min(r.stepFetch(ctx, now), r.stepRead(ctx, now, due.Add(directReadDelay))), false
}

// stepFetch asks the next peer if it is time to, and returns the time until the one after it
// may be asked.
func (r *catchUpRun) stepFetch(ctx context.Context, now time.Time) time.Duration {
	next, fetching := r.nextPeer(), r.fetching()
	if next == nil || fetching >= maxFetches {
		return sourceExpiry
	}
	if wait := r.lastFetch.Add(hedgeDelay).Sub(now); fetching > 0 && wait > 0 {
		return wait
	}
	if fetching > 0 {
		r.hedged()
	}
	r.lastFetch = now
	r.startFetch(ctx, next, now)
	return hedgeDelay
}

// stepRead reads from the store if it is time to, which is not before notBefore, and returns
// the time until then.
func (r *catchUpRun) stepRead(ctx context.Context, now, notBefore time.Time) time.Duration {
	if r.reading {
		return sourceExpiry
	}
	if wait := max(notBefore.Sub(now), r.nextRead.Sub(now)); wait > 0 {
		return wait
	}
	r.startRead(ctx)
	return sourceExpiry
}

// dropAnnouncements forgets the versions that this entry has by now and those of peers that
// have become silent.
func (r *replica) dropAnnouncements(now time.Time) {
	maps.DeleteFunc(r.peers, func(_ string, a *announcement) bool {
		return !r.behind(a.gossipMessage) || now.Sub(a.heardAt) > sourceExpiry
	})
}

// newSince returns since when a peer has had a version that this entry lacks.
func (r *replica) newSince() time.Time {
	var earliest time.Time
	for _, a := range r.peers {
		if earliest.IsZero() || a.newSince.Before(earliest) {
			earliest = a.newSince
		}
	}
	return earliest
}

// fetching returns the number of fetches under way.
func (r *replica) fetching() int {
	n := 0
	for _, a := range r.peers {
		if a.fetching {
			n++
		}
	}
	return n
}

// nextPeer returns the peer to ask next: the one that was heard last, preferably in this
// region, among those that have not been asked since. It returns nil if there is none.
func (r *replica) nextPeer() *announcement {
	var best *announcement
	var bestAt time.Time
	for _, a := range r.peers {
		at := a.heardAt
		if r.isFar(a.gossipMessage) {
			at = at.Add(-farPenalty)
		}
		if !a.fetching && a.heardAt.After(a.askedAt) && (best == nil || at.After(bestAt)) {
			best, bestAt = a, at
		}
	}
	return best
}

// apply gets data and applies it.
func (r *catchUpRun) apply(get func() applier) {
	r.guard(func() {
		if apply := get(); apply != nil {
			apply(r.gateway)
		}
	})
}

// startFetch fetches from a peer in the background. The caller holds mu.
func (r *catchUpRun) startFetch(ctx context.Context, from *announcement, now time.Time) {
	from.askedAt, from.fetching = now, true
	m := from.gossipMessage
	go func() {
		r.apply(func() applier { return r.fetch(ctx, m) })
		r.mu.Lock()
		defer r.mu.Unlock()
		from.fetching = false
		signal(r.changed)
	}()
}

// startRead reads from the store in the background. The caller holds mu.
func (r *catchUpRun) startRead(ctx context.Context) {
	r.reading = true
	go func() {
		r.apply(func() applier { return r.read(ctx) })
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading, r.nextRead = false, time.Now().Add(r.readPause)
		r.readPause = min(2*r.readPause, maxDirectReadPause)
		signal(r.changed)
	}()
}
