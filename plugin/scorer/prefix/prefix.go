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

// Scorer prefers upstreams that have the start of the prompt in memory, so that
// it is not computed again. One that is believed to hold the prefix scores 0.
// Among the others, those that a hash of the prefix assigns it to come first;
// all entries agree on them without talking to each other.
type Scorer struct {
	// Interactive is the score of any other upstream for urgent and
	// interactive requests, whose caller waits while the prompt is computed.
	// Default 4.
	Interactive float64 `yaml:"interactive"`
	// Patient is the same for patient requests. Default 4.
	Patient float64 `yaml:"patient"`
	// First and Second are the shares of that score for the upstream that the
	// prefix is assigned to and for the next in line. Defaults 0.8 and 0.9.
	First  float64 `yaml:"first"`
	Second float64 `yaml:"second"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	if r.Prefix == 0 || u.Holds(r.Prefix) {
		return 0
	}
	miss := s.Interactive
	if r.Class == api.ClassPatient {
		miss = s.Patient
	}
	switch u.Affinity {
	case route.AffinityFirst:
		return miss * s.First
	case route.AffinitySecond:
		return miss * s.Second
	}
	return miss
}
