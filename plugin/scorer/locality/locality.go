package locality

import (
	"time"

	"jaylink/decision/route"
)

const (
	defaultOtherZone   = 0.05
	defaultOtherRegion = 2.0
)

// Scorer prefers upstreams near the entry; traffic between regions goes over a
// slow link that is paid by volume.
type Scorer struct {
	// OtherZone is the score of another zone of the region. Default 0.05.
	OtherZone float64 `yaml:"other_zone"`
	// OtherRegion is the score of another region. Default 2.
	OtherRegion float64 `yaml:"other_region"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	switch {
	case u.Spec.Region != r.Region:
		return s.OtherRegion
	case u.Spec.AvailabilityZone != r.Zone:
		return s.OtherZone
	}
	return 0
}
