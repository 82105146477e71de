package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/quota"
)

const (
	// minGossipInterval is the time between two gossip rounds, unless the loads would
	// then take more than loadsBudget bytes per second. That is two thirds of the 20 kB/s
	// that a node has for control traffic. Entries that watch the store wait at most
	// maxWatcherInterval, as the other entries depend on their messages.
	minGossipInterval  = 200 * time.Millisecond
	loadsBudget        = 13_000
	maxWatcherInterval = 2 * minGossipInterval
	// slowGossipInterval is the minimum time between rounds if a cycle through the region
	// takes longer than loadExpiry, so that loads arrive too late to be used for
	// placement. With it, gossip takes an entry in a fleet of 295 about 1.3% of a core,
	// at 0.27 ms for each message sent and received in the users' benchmark.
	slowGossipInterval = 500 * time.Millisecond
	// datagramOverhead is the size of the IP and UDP headers in bytes.
	datagramOverhead = 28
	// earlyGossipTokens is the number of unread prompt tokens from which on an attempt is
	// announced to the region before the next round. Such attempts are collected for
	// earlyGossipDelay.
	earlyGossipTokens = 4000
	earlyGossipDelay  = 20 * time.Millisecond
	// loadExpiry is how long the loads of a peer are used after its last message. In a
	// large fleet they are used for expiryCycles gossip cycles, if that is longer.
	loadExpiry   = 1500 * time.Millisecond
	expiryCycles = 3
	// peerExpiry is how long a peer is kept after its last message, or expiryCycles
	// gossip cycles if that is longer.
	peerExpiry = 20 * time.Second
	// maxDatagram is the size in bytes of the largest gossip message that can be
	// received.
	maxDatagram = 64 << 10
)

// peer is the known state of another entry.
type peer struct {
	address      *net.UDPAddr
	region       string
	incarnation  int64
	lastHeard    time.Time
	holdsLease   bool
	watchesStore bool
	leaving      bool
}

func (g *Gateway) openGossip(address string) error {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	g.gossip, err = net.ListenUDP("udp4", udp)
	return err
}

// expirePeers drops the loads of peers that have been silent, and then the peers
// themselves. cycle is the length of a gossip cycle. The caller holds mu.
func (g *Gateway) expirePeers(now time.Time, cycle time.Duration) {
	expiry := max(loadExpiry, expiryCycles*cycle)
	for name, p := range g.peers {
		silent := now.Sub(p.lastHeard)
		if silent > expiry {
			g.table.SetPeerLoads(name, nil)
		}
		if silent > max(peerExpiry, expiryCycles*cycle) || p.leaving && silent > loadExpiry {
			delete(g.peers, name)
			g.peerNames = nil
			g.quota.Leave(name)
			g.limits.RemovePeer(name)
			g.quota.SetPeerCount(len(g.peers))
			g.metrics.changed[peerGone].Inc(1)
			g.log.Info("peer removed", "peer", name, "silent", silent, "leaving", p.leaving)
		}
	}
}

// Peers returns the number of known peers.
func (g *Gateway) Peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers)
}

// HeardPeers returns the number of peers from which a message has been received.
func (g *Gateway) HeardPeers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.countHeardPeers()
}

// countHeardPeers is HeardPeers for callers that hold mu.
func (g *Gateway) countHeardPeers() int {
	n := 0
	for _, p := range g.peers {
		if p.incarnation != 0 {
			n++
		}
	}
	return n
}

// sendGossip sends this entry's state to its peers until ctx ends.
func (g *Gateway) sendGossip(ctx context.Context) {
	// Entries start at the same time. If their rounds coincided, their messages would
	// saturate the lease holder's network link.
	if !sleep(ctx, rand.N(minGossipInterval)) {
		return
	}
	next := time.NewTimer(minGossipInterval)
	defer next.Stop()
	for schedule := newGossipSchedule(); ; {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(g.gossipRound(schedule))
		case <-g.sendLoads:
			if sleep(ctx, earlyGossipDelay) {
				g.sendMessage(g.buildMessage(messageParts{loads: true}), schedule.near.next(g.listPeers().near, gossipFanout))
			}
		case to := <-g.sendNewsTo:
			g.sendMessage(g.buildMessage(messageParts{news: true}), []*net.UDPAddr{to})
		case <-g.sendNews:
			if sleep(ctx, earlyGossipDelay) {
				g.sendMessage(g.buildMessage(messageParts{news: true}), g.listPeers().sample(schedule.rng, newsFanout))
			}
		}
	}
}

// gossipRound sends the regular messages of a round and returns the time until the next
// one.
func (g *Gateway) gossipRound(schedule *gossipSchedule) time.Duration {
	g.judgeParts()
	peers := g.listPeers()
	fanout := gossipFanout
	if g.watches() {
		fanout = watcherFanout
	}
	loadTargets := 0
	for _, s := range schedule.next(peers, fanout, time.Duration(g.gossipInterval.Load())) {
		size := g.sendMessage(g.buildMessage(s.messageParts), s.targets)
		switch s.messageParts {
		case messageParts{loads: true}:
			loadTargets, schedule.loadsBytes = len(s.targets), size
		case messageParts{totals: true}:
			schedule.totalsBytes = size
		}
	}
	if peers.count() > smallFleet && g.hasNews() {
		// This resends what was lost when it was first sent, and informs entries that
		// have just started.
		g.sendMessage(g.buildMessage(messageParts{news: true}), peers.sample(schedule.rng, 1))
	}
	if peers.count() > smallFleet && g.rolloutRuns() {
		g.sendMessage(g.buildMessage(messageParts{rollouts: true}), peers.dutyCandidates)
	}
	wait := g.roundInterval(loadTargets*schedule.loadsBytes, len(peers.near))
	g.gossipInterval.Store(int64(wait))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickLimits()
	g.quota.SetDelays(schedule.totalsCycleTime(peers), g.gossipCycleTime(peers))
	return wait
}

// roundInterval returns the time until the next round after one whose loads took the
// given number of bytes. near is the number of peers in the region.
func (g *Gateway) roundInterval(bytes, near int) time.Duration {
	wait := max(minGossipInterval, time.Duration(bytes)*time.Second/loadsBudget)
	if time.Duration(roundsToReach(near))*wait > loadExpiry {
		wait = max(wait, slowGossipInterval)
	}
	if g.watches() {
		return min(wait, maxWatcherInterval)
	}
	return wait
}

// gossipCycleTime returns the length of a gossip cycle: the time in which an entry sends
// a message to every peer, if all entries gossip at the pace of this one.
func (g *Gateway) gossipCycleTime(peers peerList) time.Duration {
	return time.Duration(g.gossipInterval.Load()) * time.Duration(max(roundsToReach(len(peers.near)), farRoundInterval*roundsToReach(len(peers.far))))
}

func (g *Gateway) listPeers() peerList {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listPeersLocked()
}

// listPeersLocked is listPeers for callers that hold mu.
func (g *Gateway) listPeersLocked() peerList {
	var list peerList
	ahead := 0
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
		if p.holdsLease || ahead < leaseCandidates {
			list.dutyCandidates = append(list.dutyCandidates, p.address)
		}
		if !p.leaving {
			ahead++
		}
	}
	return list
}

// gossipLargePrompt triggers an early message with loads if an attempt has many prompt
// tokens to read.
func (g *Gateway) gossipLargePrompt(unread int) {
	if unread < earlyGossipTokens {
		return
	}
	signal(g.sendLoads)
}

// sendMessage sends a message to the targets and returns the bytes that one datagram
// takes.
func (g *Gateway) sendMessage(m gossipMessage, targets []*net.UDPAddr) int {
	data := m.encode()
	for _, to := range targets {
		// Errors are ignored: a later message replaces a lost one.
		_, _ = g.gossip.WriteToUDP(data, to)
	}
	return len(data) + datagramOverhead
}

// buildMessage builds a message with the given parts of this entry's state.
func (g *Gateway) buildMessage(parts messageParts) gossipMessage {
	m := gossipMessage{
		Entry: g.settings.Name, Incarnation: g.incarnation, Region: g.settings.Region, Leaving: g.stopping.Load(),
	}
	if config := g.config.Load(); config != nil {
		m.Configuration = config.Version
	}
	if u := g.upstreams.Load(); u != nil {
		m.Upstreams = u.position
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.SentAt = g.trueTime().UnixMilli()
	if parts.loads {
		m.Loads = map[uint32]placement.Load{}
		for id, l := range g.table.Loads(time.Now()) {
			m.Loads[hashKey(id)] = l
		}
		m.Slowdowns = g.slowdownsByKey(time.Now())
	}
	if parts.totals {
		m.Totals = map[uint32]quota.Total{}
		for name, total := range g.quota.Totals(time.Now()) {
			m.Totals[hashKey(name)] = total
		}
	}
	if parts.news {
		m.Crashes, m.Verdicts = g.poison.Updates(g.trueTime())
		m.Limits = g.limits.News(g.trueTime())
		m.Rollouts = g.rollouts.news()
	}
	if parts.rollouts {
		m.RolloutCounts = g.rollouts.ownCounts()
	}
	m.Demand = g.limits.Demand(g.trueTime())
	m.Work = maps.Clone(g.ownWork)
	if parts.usage {
		m.Usage = g.usage.Newest(g.trueTime())
	}
	m.WatchesStore = g.storeReachable() && g.watches()
	m.ReportedWindow, m.ReportedEra = g.reports.Newest()
	_, m.HoldsLease = g.lease.MayOrder(monotonicTime(), true)
	return m
}

// receiveGossip processes the messages of other entries until ctx ends.
func (g *Gateway) receiveGossip(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		// Unblocks the read below.
		_ = g.gossip.Close()
	})
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.gossip.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("receiving gossip failed", "err", err)
				sleep(ctx, minGossipInterval)
			}
			continue
		}
		g.withRecover("word", func() { g.handleDatagram(ctx, buffer[:n], from) })
	}
}

// handleDatagram processes one datagram. If its sender has a newer configuration or
// upstream list, that is fetched in the background.
func (g *Gateway) handleDatagram(ctx context.Context, data []byte, from *net.UDPAddr) {
	m, err := decodeMessage(data)
	if err != nil || m.Entry == "" || m.Entry == g.settings.Name {
		g.log.Debug("datagram ignored", "from", from, "err", err)
		return
	}
	m.Sender = from
	g.applyMessage(m)
	g.applyCrashReports(m)
	g.applyLimitStatements(m)
	g.applyRolloutMessage(m)
	if m.WatchesStore && !g.behindConfiguration(m) {
		g.confirmConfiguration()
	}
	g.configurationReplica.announce(ctx, m)
	g.upstreamReplica.announce(ctx, m)
}

// applyMessage updates the state of the peer that sent a message, and the loads, totals,
// usage and clock offsets learned from it. Messages of an earlier process of the peer are
// ignored.
func (g *Gateway) applyMessage(m gossipMessage) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[m.Entry]
	if p == nil {
		p = &peer{}
		g.peers[m.Entry] = p
		g.metrics.changed[peerFound].Inc(1)
		g.log.Info("peer added", "peer", m.Entry, "address", m.Sender.String())
	}
	if m.Incarnation < p.incarnation {
		return
	}
	if m.Incarnation > p.incarnation {
		g.sendNewsToNewPeer(m.Sender)
	}
	p.address, p.incarnation, p.lastHeard = m.Sender, m.Incarnation, now
	p.region, p.holdsLease, p.watchesStore, p.leaving = m.Region, m.HoldsLease, m.WatchesStore, m.Leaving
	if m.Loads != nil {
		g.table.SetPeerLoads(m.Entry, g.loadsByUpstream(m))
	}
	g.applySlowdowns(now, m)
	g.applyWork(now, m)
	g.quota.UpdatePeer(now, m.Entry, m.Incarnation, g.totalsByCustomer(m))
	g.limits.UpdatePeer(g.trueTime(), m.Entry, m.Demand)
	g.usage.Merge(processName(m), m.Usage)
	g.applyReported(m)
	if shift := g.clock.AddSample(monotonic(), m.Entry, time.UnixMilli(m.SentAt)); shift != 0 {
		g.metrics.changed[clockSet].Inc(1)
		g.log.Warn("clock set to that of most entries", "by", shift)
	}
}

// sendNewsToNewPeer has the known crashes and limits sent to a peer that has just
// started. In a large fleet only a random part of the entries does so. The caller holds
// mu.
func (g *Gateway) sendNewsToNewPeer(to *net.UDPAddr) {
	if rand.IntN(len(g.peers)+1) >= smallFleet || !g.hasNewsLocked() {
		return
	}
	select {
	case g.sendNewsTo <- to:
	default:
		// So many peers are starting at once that the queue is full; regular rounds will
		// inform them.
	}
}

// loadsByUpstream returns the loads of a message by upstream ID, without those of
// upstreams that are unknown here. The caller holds mu.
func (g *Gateway) loadsByUpstream(m gossipMessage) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(m.Loads))
	for key, l := range m.Loads {
		if id, ok := g.upstreamIDs[key]; ok {
			loads[id] = l
		}
	}
	return loads
}

// totalsByCustomer returns the totals of a message by customer name. It returns nil if
// the message has none or no customers are known yet. The caller holds mu.
func (g *Gateway) totalsByCustomer(m gossipMessage) map[string]quota.Total {
	if m.Totals == nil || len(g.customerNames) == 0 {
		return nil
	}
	totals := make(map[string]quota.Total, len(m.Totals))
	for key, total := range m.Totals {
		if name, ok := g.customerNames[key]; ok {
			totals[name] = total
		}
	}
	return totals
}
