package roundrobin

import (
	"time"

	"jaylink/decision/route"
)

// Scorer takes the upstreams in turn: the one that this entry used longest ago
// comes next. It is the baseline that measurements compare with, is not in the
// standard chain and wants to be the only scorer. It has no options.
type Scorer struct{}

// Score implements route.Scorer.
func (*Scorer) Score(_ time.Time, _ *route.Request, u *route.Upstream) float64 {
	return float64(u.LastStart)
}

// ScoreAll implements route.Exhaustive.
func (*Scorer) ScoreAll() {}
