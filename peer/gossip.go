package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jaylink/peer/peerpb"
)

// pushFanout is the number of peers in the own availability zone to which an update is
// pushed.
const pushFanout = 3

// Announce pushes a change of the configuration that is now in force on this entry.
func (n *Node) Announce(delta *peerpb.Delta) {
	if delta == nil {
		return
	}
	news := &peerpb.News{From: n.opts.Self.GetName(), Delta: delta}
	n.spawn(func() { n.push(news, n.pushTargets(true)) })
}

// PushSigns pushes signs that upstream hosts are leaving or no longer leaving.
func (n *Node) PushSigns(signs []*peerpb.Sign) {
	if len(signs) == 0 {
		return
	}
	news := &peerpb.News{From: n.opts.Self.GetName(), Signs: signs}
	n.spawn(func() { n.push(news, n.pushTargets(true)) })
}

// handleNews merges an update from a peer and forwards what was new.
func (n *Node) handleNews(news *peerpb.News) {
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
		// Earlier changes are missing here, and the sender has them.
		n.requestPull(n.addressOf(news.GetFrom()))
	}
	if changed {
		onward := &peerpb.News{From: n.opts.Self.GetName(), Delta: delta}
		n.spawn(func() { n.push(onward, n.pushTargets(false)) })
	}
}

// push sends an update to peers and waits for the calls to end.
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
				n.opts.Log.Debug("push failed", "peer", address, "step", "push", "err", err)
			}
		})
	}
	wg.Wait()
}

// pushTargets returns the addresses of random peers in the own availability zone. If
// this entry is the origin of the update, it adds one peer in each other zone.
func (n *Node) pushTargets(origin bool) []string {
	own := n.opts.Self.GetAvailabilityZone()
	out := n.pickPeers(pushFanout, func(zone string) bool { return zone == own })
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

// pickPeers returns the addresses of random live members in the zones for which inZone
// returns true, at most count.
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

// addressOf returns the address of a member, or "" if it is unknown.
func (n *Node) addressOf(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, _ := n.core.Get(name)
	return m.Address
}

// compareDigests requests a pull from the sender of a probe message if it may have
// configuration or signs that are missing here.
func (n *Node) compareDigests(m *peerpb.ProbeMessage) {
	own, theirs := n.opts.Config.Revision(), m.GetFrom().GetConfigRevision()
	unknown := m.GetConfigKnown() && !n.opts.Config.Known()
	config := unknown || theirs > own || (theirs == own && m.GetConfigDigest() != n.opts.Config.Digest())
	signs := n.opts.Signs != nil && m.GetSignDigest() != n.opts.Signs.Digest()
	if config || signs {
		n.requestPull(m.GetFrom().GetAddress())
	}
}

// requestPull makes runPulls pull from the peer at an address.
func (n *Node) requestPull(address string) {
	if address == "" {
		return
	}
	select {
	case n.pull <- address:
	default: // another pull is pending; a later probe requests this one again
	}
}

// runPulls performs the requested pulls, one at a time.
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

// pullFrom pulls the missing configuration and all signs from a peer.
func (n *Node) pullFrom(address string) {
	client, err := n.client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	started := time.Now()
	news, err := client.Pull(ctx, &peerpb.PullRequest{After: n.opts.Config.Revision()})
	if err != nil {
		n.opts.Log.Debug("pull failed", "peer", address, "step", "pull", "err", err)
		return
	}
	if n.opts.Signs != nil {
		n.opts.Signs.Merge(news.GetSigns())
	}
	if n.opts.Config.Merge(news.GetFrom(), news.GetDelta()) {
		n.opts.Log.Info("configuration pulled", "peer", news.GetFrom(),
			"objects", len(news.GetDelta().GetObjects()), "took", time.Since(started))
	}
}
