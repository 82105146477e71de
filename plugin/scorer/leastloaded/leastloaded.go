package leastloaded

import (
	"time"

	"jaylink/decision/route"
)

// tieWeight orders upstreams with equal reports by their last use.
const tieWeight = 1e-9

// Scorer prefers the upstream whose own report has the fewest requests; equals
// are taken in turn. It is the baseline that measurements compare with, is not
// in the standard chain and wants to be the only scorer. It has no options.
type Scorer struct{}

// Score implements route.Scorer.
func (*Scorer) Score(_ time.Time, _ *route.Request, u *route.Upstream) float64 {
	return float64(u.Load.Running+u.Load.Queued) + tieWeight*float64(u.LastStart)
}

// ScoreAll implements route.Exhaustive.
func (*Scorer) ScoreAll() {}
