package quota

import "time"

const (
	// viewLife is how long what the peers said is used before it is gathered again,
	// and viewPart the part of a round of totals for which it is where they come
	// late: gathering takes as long as hearing from a dozen entries.
	viewLife = 50 * time.Millisecond
	viewPart = 24
)

// view is what the peers say, gathered once for many requests.
type view struct {
	at     time.Time
	silent []*peer
	// speaking is the number of the others, demand what they are asked for per
	// second by customer.
	speaking int
	demand   map[string]float64
	// ample has the customers whose allowance is not scarce, as far as others know.
	ample map[string]bool
}

// look returns the view of the peers, which may be viewLife old.
func (q *Quota) look(now time.Time) *view {
	v := &q.view
	if now.Sub(v.at) < max(viewLife, q.totals/viewPart) {
		return v
	}
	v.at, v.silent, v.speaking = now, v.silent[:0], 0
	clear(v.demand)
	clear(v.ample)
	for _, p := range q.peers {
		if now.Sub(p.heard) > q.silent {
			v.silent = append(v.silent, p)
			continue
		}
		v.speaking++
		for name, d := range p.demands {
			v.demand[name] += d.Rate
		}
		if q.learnt || q.partsOnly {
			continue
		}
		for name, total := range p.totals {
			if ample, heard := v.ample[name]; total.Known {
				v.ample[name] = !total.Scarce && (ample || !heard)
			}
		}
	}
	return v
}

// lookAgain makes the next look gather anew.
func (q *Quota) lookAgain() { q.view.at = time.Time{} }
