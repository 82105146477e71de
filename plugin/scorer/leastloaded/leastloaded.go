package leastloaded

import (
	"time"

	"jaylink/decision/route"
)

// tieBreakWeight is the weight of the last use of an upstream. It is small enough to
// decide only between upstreams with equal reports.
const tieBreakWeight = 1e-9

// Scorer prefers the upstream that reported the fewest requests and, among equals, the
// one that this entry used least recently. It is a baseline for measurements, is not
// in the standard chain and is meant to be the only scorer. It has no options.
type Scorer struct{}

// Score implements route.Scorer.
func (*Scorer) Score(_ time.Time, _ *route.Request, u *route.Upstream) float64 {
	return float64(u.Load.Running+u.Load.Queued) + tieBreakWeight*float64(u.LastStart)
}

// ScoreAll implements route.Exhaustive.
func (*Scorer) ScoreAll() {}
