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
	// since the report. Default 0.5.
	Unseen float64 `yaml:"unseen"`
	// Crowded is added for urgent and interactive requests as the upstream
	// fills from three quarters on: its report is late, and a request that
	// finds it full waits there. Default 4.
	Crowded float64 `yaml:"crowded"`
}

// crowdedFrom is the share of slots in use from which an upstream is crowded.
const crowdedFrom = 0.75

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	slots := float64(u.Slots())
	busy := float64(u.Busy()) + s.Unseen*float64(u.Unseen())
	if r.Class == api.ClassPatient {
		return s.Patient * busy / slots
	}
	crowd := max((busy+1)/slots-crowdedFrom, 0) / (1 - crowdedFrom)
	return s.Weight*busy/slots + s.Crowded*crowd
}
