package quota

import "time"

const (
	// A view of the peers is reused for minViewLifetime, or for the delay of
	// totals divided by viewsPerTotalsDelay if that is longer: building it
	// takes as long as processing the totals of a dozen entries.
	minViewLifetime     = 50 * time.Millisecond
	viewsPerTotalsDelay = 24
)

// peerView combines the messages of all peers, built once for many requests.
type peerView struct {
	at     time.Time
	silent []*peer
	// active is the number of peers that are not silent, and demand the demand
	// on them per second, by customer.
	// known is the number of those whose demand is known.
	active, known int
	demand        map[string]float64
	// plentiful holds the customers whose allowance is not scarce, according to
	// the peers.
	plentiful map[string]bool
}

// peerView returns the view of the peers, which may be out of date by its
// lifetime.
func (q *Quota) peerView(now time.Time) *peerView {
	v := &q.view
	if now.Sub(v.at) < max(minViewLifetime, q.totalsDelay/viewsPerTotalsDelay) {
		return v
	}
	v.at, v.silent, v.active, v.known = now, v.silent[:0], 0, 0
	clear(v.demand)
	clear(v.plentiful)
	for _, p := range q.peers {
		if now.Sub(p.lastHeard) > q.silentTimeout {
			if !p.silent {
				p.silent = true
				q.chargeSilent(p)
			}
			v.silent = append(v.silent, p)
			continue
		}
		v.active++
		if p.rounds >= learningRounds {
			v.known++
		}
		for name, d := range p.demands {
			v.demand[name] += d.Rate
		}
		if q.learned || q.localOnly {
			continue
		}
		for name, total := range p.totals {
			if plentiful, seen := v.plentiful[name]; total.Known {
				v.plentiful[name] = !total.Scarce && (plentiful || !seen)
			}
		}
	}
	return v
}

// invalidateView makes the next call of peerView build the view anew.
func (q *Quota) invalidateView() { q.view.at = time.Time{} }
