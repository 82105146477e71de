package load

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Scorer prefers upstreams with free slots. The score is the share of slots in use. It
// is computed from the upstream's delayed report, the requests that this entry has
// started and ended since, and an estimate of those that the other entries have started
// based on the same report.
type Scorer struct {
	// Weight is the factor of the score for urgent and interactive requests.
	// Default 0.3.
	Weight float64 `yaml:"weight"`
	// PatientWeight is the factor of the score for patient requests. Default
	// 0.1.
	PatientWeight float64 `yaml:"patient"`
	// UnseenWeight is the weight of the requests that the other entries are
	// estimated to have started since the report. Default 0.5.
	UnseenWeight float64 `yaml:"unseen"`
	// CrowdedPenalty is the penalty for urgent and interactive requests on a
	// full upstream. It grows linearly from 0 at three quarters of the slots:
	// the report is delayed, and a request that finds the upstream full has to
	// wait there. Default 4.
	CrowdedPenalty float64 `yaml:"crowded"`
}

// crowdedThreshold is the share of slots in use from which CrowdedPenalty applies.
const crowdedThreshold = 0.75

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	slots := float64(u.Slots())
	busy := float64(u.Busy()) + s.UnseenWeight*float64(u.Unseen())
	if r.Class == api.ClassPatient {
		return s.PatientWeight * busy / slots
	}
	crowding := max((busy+1)/slots-crowdedThreshold, 0) / (1 - crowdedThreshold)
	return s.Weight*busy/slots + s.CrowdedPenalty*crowding
}
