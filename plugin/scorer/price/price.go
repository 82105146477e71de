package price

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Defaults of the options.
const (
	defaultPatient     = 2.0
	defaultInteractive = 3.0
	defaultUrgent      = 0.0
	defaultSlowdown    = 0.3
)

// Scorer prefers cheap upstreams. The score is the price of a slot, relative to the
// mean of all upstreams of the protocol, which is 1, multiplied by the slowdown that
// one more request causes: a fuller upstream is slower for all requests of its batch.
type Scorer struct {
	// Patient, Interactive and Urgent are the factors of the score by the class
	// of the request. Defaults 2, 3 and 0.
	Patient     float64 `yaml:"patient"`
	Interactive float64 `yaml:"interactive"`
	Urgent      float64 `yaml:"urgent"`
	// Slowdown is the fraction by which a full batch is slower than a single
	// request. Default 0.3.
	Slowdown float64 `yaml:"slowdown"`
}

// Score implements route.Scorer.
func (s *Scorer) Score(_ time.Time, r *route.Request, u *route.Upstream) float64 {
	busy := float64(u.Busy()) / float64(u.Slots())
	// The slowdown of the request itself equals the total slowdown that it causes
	// for the others, hence the factor 2.
	return s.weight(r.Class) * u.RelativePrice * (1 + 2*s.Slowdown*busy)
}

func (s *Scorer) weight(c api.Class) float64 {
	switch c {
	case api.ClassUrgent:
		return s.Urgent
	case api.ClassPatient:
		return s.Patient
	}
	return s.Interactive
}
