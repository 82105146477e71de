package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jaylink/peer/peerpb"
)

// fanout is the number of peers in the own zone that news are pushed to.
const fanout = 3

// Announce tells peers what is newly in force on this entry.
func (n *Node) Announce(delta *peerpb.Delta) {
	if delta == nil {
		return
	}
	news := &peerpb.News{From: n.opts.Self.GetName(), Delta: delta}
	n.spawn(func() { n.push(news, n.pushTargets(true)) })
}

// PushSigns tells peers that an upstream host is leaving or back.
func (n *Node) PushSigns(signs []*peerpb.Sign) {
	if len(signs) == 0 {
		return
	}
	news := &peerpb.News{From: n.opts.Self.GetName(), Signs: signs}
	n.spawn(func() { n.push(news, n.pushTargets(true)) })
}

// takeNews merges news and passes on what was new.
func (n *Node) takeNews(news *peerpb.News) {
	if n.opts.Signs != nil {
		if fresh := n.opts.Signs.Merge(news.GetSigns()); len(fresh) > 0 {
			onward := &peerpb.News{From: n.opts.Self.GetName(), Signs: fresh}
			n.spawn(func() { n.push(onward, n.pushTargets(false)) })
		}
	}
	delta := news.GetDelta()
	if delta == nil {
		return
	}
	changed := n.opts.Config.Merge(news.GetFrom(), delta)
	if n.opts.Config.Revision() < delta.GetRevision() {
		// Earlier changes are missing; the sender has them.
		n.wantPull(n.addressOf(news.GetFrom()))
	}
	if changed {
		onward := &peerpb.News{From: n.opts.Self.GetName(), Delta: delta}
		n.spawn(func() { n.push(onward, n.pushTargets(false)) })
	}
}

func (n *Node) push(news *peerpb.News, addresses []string) {
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses {
		client, err := n.client(address)
		if err != nil {
			continue
		}
		wg.Go(func() {
			if _, err := client.Push(ctx, news); err != nil {
				n.opts.Log.Debug("news were not pushed", "peer", address, "step", "push", "err", err)
			}
		})
	}
	wg.Wait()
}

// pushTargets returns peers of the own zone and, if this entry is where the
// news began, one of each other zone.
func (n *Node) pushTargets(origin bool) []string {
	own := n.opts.Self.GetAvailabilityZone()
	out := n.pickPeers(fanout, func(zone string) bool { return zone == own })
	if !origin {
		return out
	}
	zones := map[string]bool{own: true}
	for _, m := range n.Live() {
		if z := m.GetAvailabilityZone(); !zones[z] {
			zones[z] = true
			out = append(out, n.pickPeers(1, func(zone string) bool { return zone == z })...)
		}
	}
	return out
}

// pickPeers returns the addresses of random live members in zones.
func (n *Node) pickPeers(count int, inZone func(zone string) bool) []string {
	var out []string
	for _, m := range n.Live() {
		if inZone(m.GetAvailabilityZone()) {
			out = append(out, m.GetAddress())
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

func (n *Node) addressOf(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, _ := n.core.Get(name)
	return m.Address
}

// compare pulls from a peer that may know what is missing here.
func (n *Node) compare(m *peerpb.ProbeMessage) {
	own, theirs := n.opts.Config.Revision(), m.GetFrom().GetConfigRevision()
	unknown := m.GetConfigKnown() && !n.opts.Config.Known()
	config := unknown || theirs > own || (theirs == own && m.GetConfigDigest() != n.opts.Config.Digest())
	signs := n.opts.Signs != nil && m.GetSignDigest() != n.opts.Signs.Digest()
	if config || signs {
		n.wantPull(m.GetFrom().GetAddress())
	}
}

func (n *Node) wantPull(address string) {
	if address == "" {
		return
	}
	select {
	case n.pull <- address:
	default: // a pull is waiting already; probes will ask again
	}
}

// runPulls pulls from one peer at a time.
func (n *Node) runPulls() {
	for {
		select {
		case address := <-n.pull:
			n.pullFrom(address)
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) pullFrom(address string) {
	client, err := n.client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	begin := time.Now()
	news, err := client.Pull(ctx, &peerpb.PullRequest{After: n.opts.Config.Revision()})
	if err != nil {
		n.opts.Log.Debug("configuration was not pulled", "peer", address, "step", "pull", "err", err)
		return
	}
	if n.opts.Signs != nil {
		n.opts.Signs.Merge(news.GetSigns())
	}
	if n.opts.Config.Merge(news.GetFrom(), news.GetDelta()) {
		n.opts.Log.Info("configuration pulled", "peer", news.GetFrom(),
			"objects", len(news.GetDelta().GetObjects()), "took", time.Since(begin))
	}
}
