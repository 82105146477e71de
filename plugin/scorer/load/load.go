package load

import (
	"time"

	"jaylink/decision/route"
)

// Scorer prefers upstreams with free slots. The score is the share of slots in
// use, from the upstream's lagging report corrected by the entry's own work.
type Scorer struct {
	// Weight multiplies the score. Default 1.
	Weight float64 `yaml:"weight"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, _ *route.Request, u *route.Upstream) float64 {
	return s.Weight * float64(u.Busy()) / float64(u.Slots())
}
