package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/quota"
)

const (
	// tellInterval is how often an entry tells its state, unless loads would take
	// more than tellBudget bytes a second: two thirds of the 20 kB/s that a node
	// has for control. Entries that watch the store wait watcherWait at most, as
	// the others wait for their word.
	tellInterval = 200 * time.Millisecond
	tellBudget   = 13_000
	watcherWait  = 2 * tellInterval
	// lateInterval is the least time between turns where a round through the region
	// takes longer than loads count, so that they come too late to place by. With it
	// words take an entry of 295 about 1.3% of a core, at 0.27 ms for one sent and
	// one heard on the users' bench.
	lateInterval = 500 * time.Millisecond
	// datagramHeader is what a datagram takes beside its word, in bytes.
	datagramHeader = 28
	// soonTokens is the unread tokens of an attempt that the others of the region
	// hear of before the next turn, and soonDelay gathers such attempts.
	soonTokens = 4000
	soonDelay  = 20 * time.Millisecond
	// loadLife is how long a silent entry's load counts, and loadRounds for how
	// many rounds through all entries it does in a large fleet.
	loadLife   = 1500 * time.Millisecond
	loadRounds = 3
	// peerLife is how long a silent entry counts, at least for loadRounds.
	peerLife = 20 * time.Second
	// maxDatagram is the largest word that is read, in bytes.
	maxDatagram = 64 << 10
)

// peer is what is known about another entry.
type peer struct {
	address     *net.UDPAddr
	region      string
	incarnation int64
	heard       time.Time
	holder      bool
	watches     bool
	leaving     bool
}

func (g *Gateway) openGossip(address string) error {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	g.gossip, err = net.ListenUDP("udp4", udp)
	return err
}

// expirePeers forgets silent entries; words is how long one from each takes. The
// caller holds mu.
func (g *Gateway) expirePeers(now time.Time, words time.Duration) {
	life := max(loadLife, loadRounds*words)
	for name, p := range g.peers {
		silent := now.Sub(p.heard)
		if silent > life {
			g.table.Hear(name, nil)
		}
		if silent > max(peerLife, loadRounds*words) || p.leaving && silent > loadLife {
			delete(g.peers, name)
			g.peerNames = nil
			g.quota.Leave(name)
			g.quota.Expect(len(g.peers))
			g.metrics.changed[peerGone].Inc(1)
			g.log.Info("peer gone", "peer", name, "silent", silent, "leaving", p.leaving)
		}
	}
}

// Peers returns the number of other entries that are known.
func (g *Gateway) Peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers)
}

// HeardPeers returns the number of other entries that have spoken.
func (g *Gateway) HeardPeers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spoke()
}

// spoke is HeardPeers for callers that hold mu.
func (g *Gateway) spoke() int {
	n := 0
	for _, p := range g.peers {
		if p.incarnation != 0 {
			n++
		}
	}
	return n
}

// tellPeers tells the others this entry's state until ctx ends.
func (g *Gateway) tellPeers(ctx context.Context) {
	// Entries start together; were their turns to meet, their words would fill
	// the link of the holder at one moment.
	if !sleep(ctx, rand.N(tellInterval)) {
		return
	}
	next := time.NewTimer(tellInterval)
	defer next.Stop()
	for t := newTelling(); ; {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(g.tellTurn(t))
		case <-g.sendLoads:
			if sleep(ctx, soonDelay) {
				g.sendWord(g.nextWord(content{loads: true}), t.near.next(g.listPeers().near, tellFanout))
			}
		case to := <-g.sendCrashesTo:
			g.sendWord(g.nextWord(content{crashes: true}), []*net.UDPAddr{to})
		case <-g.sendCrashes:
			if sleep(ctx, soonDelay) {
				g.sendWord(g.nextWord(content{crashes: true}), g.listPeers().draw(t.rng, crashFanout))
			}
		}
	}
}

// tellTurn tells the regular words of a turn and returns when the next one is due.
func (g *Gateway) tellTurn(t *telling) time.Duration {
	peers := g.listPeers()
	fanout := tellFanout
	if g.watches() {
		fanout = watcherFanout
	}
	light := 0
	for _, s := range t.next(peers, fanout, time.Duration(g.gossipInterval.Load())) {
		size := g.sendWord(g.nextWord(s.content), s.targets)
		switch s.content {
		case content{loads: true}:
			light, t.lightBytes = len(s.targets), size
		case content{totals: true}:
			t.totalsBytes = size
		}
	}
	if peers.count() > smallFleet && g.knowsOfCrashes() {
		// Makes good what was lost when it was new, and reaches entries that start.
		g.sendWord(g.nextWord(content{crashes: true}), peers.draw(t.rng, 1))
	}
	wait := g.turnWait(light*t.lightBytes, len(peers.near))
	g.gossipInterval.Store(int64(wait))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.Pace(t.totalsTime(peers), g.wordTime(peers))
	return wait
}

// turnWait is how long after a turn whose loads took some bytes the next one
// follows; near is the number of other entries in the region.
func (g *Gateway) turnWait(bytes, near int) time.Duration {
	wait := max(tellInterval, time.Duration(bytes)*time.Second/tellBudget)
	if time.Duration(rounds(near))*wait > loadLife {
		wait = max(wait, lateInterval)
	}
	if g.watches() {
		return min(wait, watcherWait)
	}
	return wait
}

// wordTime is how long it takes until all others have heard a word of an entry, if
// entries tell at the same pace.
func (g *Gateway) wordTime(peers peerList) time.Duration {
	return time.Duration(g.gossipInterval.Load()) * time.Duration(max(rounds(len(peers.near)), farEvery*rounds(len(peers.far))))
}

func (g *Gateway) listPeers() peerList {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sortedPeers()
}

// sortedPeers is listPeers for callers that hold mu.
func (g *Gateway) sortedPeers() peerList {
	var list peerList
	before := 0
	if len(g.peerNames) != len(g.peers) {
		g.peerNames = sortedKeys(g.peers)
	}
	for _, name := range g.peerNames {
		p := g.peers[name]
		switch {
		case p.address == nil:
			continue
		case p.region == g.settings.Region:
			list.near = append(list.near, p.address)
		default:
			list.far = append(list.far, p.address)
		}
		if p.holder || before < candidates {
			list.duties = append(list.duties, p.address)
		}
		if !p.leaving {
			before++
		}
	}
	return list
}

// tellLarge has the others told soon of an attempt with much to read.
func (g *Gateway) tellLarge(unread int) {
	if unread < soonTokens {
		return
	}
	select {
	case g.sendLoads <- struct{}{}:
	default:
	}
}

// sendWord sends a word and returns the bytes of one datagram.
func (g *Gateway) sendWord(w word, targets []*net.UDPAddr) int {
	data := w.encode()
	for _, to := range targets {
		// A lost datagram is made good by the next one.
		_, _ = g.gossip.WriteToUDP(data, to)
	}
	return len(data) + datagramHeader
}

// nextWord puts together what is to be told.
func (g *Gateway) nextWord(c content) word {
	w := word{
		Entry: g.settings.Name, Incarnation: g.incarnation, Region: g.settings.Region, Leaving: g.stopping.Load(),
	}
	if config := g.config.Load(); config != nil {
		w.Configuration = config.Version
	}
	if u := g.upstreams.Load(); u != nil {
		w.Upstreams = u.revision
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Sent = g.trueTime().UnixMilli()
	if c.loads {
		w.Loads = map[uint32]placement.Load{}
		for id, l := range g.table.Loads(time.Now()) {
			w.Loads[keyOf(id)] = l
		}
	}
	if c.totals {
		w.Totals = map[uint32]quota.Total{}
		for name, total := range g.quota.Totals(time.Now()) {
			w.Totals[keyOf(name)] = total
		}
	}
	if c.crashes {
		w.Crashes, w.Verdicts = g.poison.News(g.trueTime())
	}
	if c.usage {
		w.Usage = g.usage.Newest(g.trueTime())
	}
	w.Watches = g.storeHeld() && g.watches()
	_, w.Holder = g.lease.MayOrder(monotonicTime(), true)
	return w
}

// hearPeers takes the words of others until the socket is closed.
func (g *Gateway) hearPeers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		// Unblocks the read below.
		_ = g.gossip.Close()
	})
	defer stop()
	buffer := make([]byte, maxDatagram)
	catching := make(chan struct{}, 1)
	for ctx.Err() == nil {
		n, from, err := g.gossip.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("gossip not read", "err", err)
				sleep(ctx, tellInterval)
			}
			continue
		}
		g.withRecover("word", func() { g.hearDatagram(ctx, buffer[:n], from, catching) })
	}
}

// hearDatagram takes one word. If its entry knows more, catching, which has room for
// one, has this entry fetch that in the background.
func (g *Gateway) hearDatagram(ctx context.Context, data []byte, from *net.UDPAddr, catching chan struct{}) {
	w, err := decodeWord(data)
	if err != nil || w.Entry == "" || w.Entry == g.settings.Name {
		g.log.Debug("odd datagram", "from", from, "err", err)
		return
	}
	w.From = from
	g.hear(w)
	g.hearCrashes(w)
	if w.Watches && !g.behindConfiguration(w) {
		g.confirmedAt.Store(int64(monotonic()))
	}
	if !g.behindConfiguration(w) && !g.behindUpstreams(w) {
		return
	}
	select {
	case catching <- struct{}{}:
		go func() {
			g.withRecover("catch up", func() { g.syncFromPeer(ctx, w) })
			<-catching
		}()
	default:
	}
}

func (g *Gateway) hear(w word) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[w.Entry]
	if p == nil {
		p = &peer{}
		g.peers[w.Entry] = p
		g.metrics.changed[peerFound].Inc(1)
		g.log.Info("peer found", "peer", w.Entry, "address", w.From.String())
	}
	if w.Incarnation < p.incarnation {
		return
	}
	if w.Incarnation > p.incarnation {
		g.greet(w.From)
	}
	p.address, p.incarnation, p.heard = w.From, w.Incarnation, now
	p.region, p.holder, p.watches, p.leaving = w.Region, w.Holder, w.Watches, w.Leaving
	if w.Loads != nil {
		g.table.Hear(w.Entry, g.upstreamLoads(w))
	}
	g.quota.Hear(now, w.Entry, w.Incarnation, g.customerTotals(w))
	g.usage.Hear(processName(w), w.Usage)
	if shift := g.clock.Hear(monotonic(), w.Entry, time.UnixMilli(w.Sent)); shift != 0 {
		g.metrics.changed[clockSet].Inc(1)
		g.log.Warn("clock set to that of most entries", "by", shift)
	}
}

// greet tells a process that has just started what is known of crashes. In a large
// fleet some entries do so. The caller holds mu.
func (g *Gateway) greet(to *net.UDPAddr) {
	if rand.IntN(len(g.peers)+1) >= smallFleet || !g.poison.HasNews(g.trueTime()) {
		return
	}
	select {
	case g.sendCrashesTo <- to:
	default:
		// So many start at once that the regular words have to do.
	}
}

// upstreamLoads returns the loads of a word by ID, without those of upstreams
// that are not known here. The caller holds mu.
func (g *Gateway) upstreamLoads(w word) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(w.Loads))
	for key, l := range w.Loads {
		if id, ok := g.upstreamIDs[key]; ok {
			loads[id] = l
		}
	}
	return loads
}

// customerTotals returns the totals of a word by name; nil if it has none, or if
// no customers are known yet. The caller holds mu.
func (g *Gateway) customerTotals(w word) map[string]quota.Total {
	if w.Totals == nil || len(g.customerNames) == 0 {
		return nil
	}
	totals := make(map[string]quota.Total, len(w.Totals))
	for key, total := range w.Totals {
		if name, ok := g.customerNames[key]; ok {
			totals[name] = total
		}
	}
	return totals
}
