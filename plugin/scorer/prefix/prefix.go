package prefix

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Defaults of the options.
const (
	defaultInteractive = 4.0
	defaultPatient     = 4.0
	defaultFirst       = 0.8
	defaultSecond      = 0.9
)

// Scorer prefers upstreams that have the start of the prompt in their cache, so that it
// is not computed again. An upstream that probably has the prefix scores 0. Among the
// others, it prefers those that a hash of the prefix assigns it to; all entries compute
// the same assignment without communication.
type Scorer struct {
	// Interactive is the score of an upstream without the prefix for urgent and
	// interactive requests, whose callers wait while the prompt is computed.
	// Default 4.
	Interactive float64 `yaml:"interactive"`
	// Patient is the same for patient requests. Default 4.
	Patient float64 `yaml:"patient"`
	// First and Second are the factors of that score for the first and the
	// second upstream that the prefix is assigned to. Defaults 0.8 and 0.9.
	First  float64 `yaml:"first"`
	Second float64 `yaml:"second"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	if r.Prefix == 0 || u.Holds(r.Prefix) {
		return 0
	}
	missScore := s.Interactive
	if r.Class == api.ClassPatient {
		missScore = s.Patient
	}
	switch u.Affinity {
	case route.AffinityFirst:
		return missScore * s.First
	case route.AffinitySecond:
		return missScore * s.Second
	}
	return missScore
}
