package load

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Scorer prefers upstreams with free slots. The score is the share of slots in
// use, from the upstream's lagging report corrected by the entry's own work and
// by what the other entries are expected to have started on the same report.
type Scorer struct {
	// Weight multiplies the score of urgent and interactive requests.
	// Default 0.3.
	Weight float64 `yaml:"weight"`
	// Patient multiplies the score of patient requests. Default 0.1.
	Patient float64 `yaml:"patient"`
	// Unseen is the weight of what other entries are expected to have started
	// since the report. Default 0.1.
	Unseen float64 `yaml:"unseen"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	weight := s.Weight
	if r.Class == api.ClassPatient {
		weight = s.Patient
	}
	busy := float64(u.Busy()) + s.Unseen*float64(u.Unseen())
	return weight * busy / float64(u.Slots())
}
