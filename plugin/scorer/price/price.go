package price

import (
	"time"

	"jaylink/decision/route"
)

// Scorer prefers cheap upstreams. The score is the price of one slot for an
// hour, in the bill's currency.
type Scorer struct {
	// Weight multiplies the score. Default 0.5.
	Weight float64 `yaml:"weight"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, _ *route.Request, u *route.Upstream) float64 {
	return s.Weight * u.Spec.PricePerHour / float64(u.Slots())
}
