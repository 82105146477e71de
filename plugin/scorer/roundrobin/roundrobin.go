package roundrobin

import (
	"time"

	"jaylink/decision/route"
)

// Scorer uses the upstreams in turn: it prefers the one that this entry used least
// recently. It is a baseline for measurements, is not in the standard chain and is
// meant to be the only scorer. It has no options.
type Scorer struct{}

// Score implements route.Scorer.
func (*Scorer) Score(_ time.Time, _ *route.Request, u *route.Upstream) float64 {
	return float64(u.LastStart)
}

// ScoreAll implements route.Exhaustive.
func (*Scorer) ScoreAll() {}
