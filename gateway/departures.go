package gateway

import (
	"maps"
	"time"

	"jaylink/platform"
	"jaylink/serving"
)

const (
	// departureMemory is how long an upstream that was draining or gone is remembered. It
	// is longer than the age of any copy from which the store is restored.
	departureMemory = 5 * time.Minute
	// withholdTime is how long an upstream that was gone and is listed by a restored store
	// gets no requests. Unless it is alive, its registration lapses within that time.
	withholdTime = 5 * time.Second
)

// departure is what is remembered of an upstream that was draining or gone. A restored store
// may list it as ready again.
type departure struct {
	// StartMillis identifies its process.
	StartMillis int64 `json:"born"`
	// Era is the era of the store in which it was draining or gone.
	Era uint64 `json:"era"`
	// Drained means that it had announced its end. Otherwise only its registration was
	// gone, and it may still be alive.
	Drained bool `json:"drained,omitempty"`
	seenAt  time.Time
}

// recentDepartures returns the departures that this entry remembers and those that a peer
// does.
func recentDepartures(own, fromPeer map[string]departure, now time.Time) map[string]departure {
	all := maps.Clone(own)
	if all == nil {
		all = map[string]departure{}
	}
	maps.DeleteFunc(all, func(_ string, d departure) bool { return now.Sub(d.seenAt) > departureMemory })
	for id, d := range fromPeer {
		if _, known := all[id]; !known {
			d.seenAt = now
			all[id] = d
		}
	}
	return all
}

// recordDepartures remembers the upstreams that are draining, and those of the list before
// that are gone.
func (n *upstreamList) recordDepartures(before *upstreamList, now time.Time) {
	for id, u := range n.upstreams {
		if d, known := n.departed[id]; u.Draining && (!known || d.StartMillis < u.StartMillis) {
			n.departed[id] = departure{u.StartMillis, n.position.Era, true, now}
		}
	}
	for id, u := range before.upstreams {
		if _, ok := n.upstreams[id]; !ok {
			n.departed[id] = departure{u.StartMillis, n.position.Era, u.Draining && !before.isWithheld(id), now}
		}
	}
}

// applyDeparture returns a listed upstream as it is to be used. One that was draining or
// gone in an earlier era counts as draining, unless its record was written since then by a
// process that may still be alive.
func (n *upstreamList) applyDeparture(u serving.Upstream, complete bool, now time.Time) serving.Upstream {
	d, known := n.departed[u.ID]
	switch {
	case !known:
	case u.StartMillis <= d.StartMillis && d.Era < n.position.Era && (d.Drained || complete):
		if u.Draining {
			n.departed[u.ID] = departure{u.StartMillis, n.position.Era, true, now}
		}
		u.Draining = true
	default:
		delete(n.departed, u.ID)
	}
	return u
}

// isWithheld reports whether an upstream is listed and gets no requests only because it was
// gone before the store was restored.
func (n *upstreamList) isWithheld(id string) bool {
	_, listed := n.upstreams[id]
	d, known := n.departed[id]
	return listed && known && !d.Drained && d.Era < n.position.Era
}

// withheld returns the IDs of the upstreams that are withheld.
func (n *upstreamList) withheld() []string {
	var ids []string
	for id := range n.departed {
		if n.isWithheld(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// withoutWithheld returns the list in which the upstreams that are withheld are used again.
func (n *upstreamList) withoutWithheld(logWarn func(string, ...any)) *upstreamList {
	next := n.clone()
	for _, id := range n.withheld() {
		u, err := platform.DecodeUpstream(id, n.records[id].Value)
		if err != nil {
			logWarn("upstream record can't be decoded", "upstream", id, "err", err)
			continue
		}
		next.upstreams[id] = u
		delete(next.departed, id)
	}
	return next
}
