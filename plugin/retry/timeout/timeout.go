package timeout

import (
	"time"

	"jaylink/api"
	"jaylink/decision/retry"
)

// Defaults of the options.
const (
	defaultUrgent      = api.Duration(2 * time.Second)
	defaultInteractive = api.Duration(30 * time.Second)
	defaultPatient     = api.Duration(2 * time.Minute)
)

// Rule bounds the time of one attempt at a plain service, so that one that hangs
// does not hold a request to its deadline. The attempt then counts as failed and is
// repeated elsewhere. Work that is not idempotent has no such bound, since it could
// not be repeated. Streamed answers are bounded by the settings under "recovery".
type Rule struct {
	// Urgent, Interactive and Patient bound the time to the whole answer, by
	// class. Defaults 2s, 30s and 2m; 0 means no bound.
	Urgent      api.Duration `yaml:"urgent"`
	Interactive api.Duration `yaml:"interactive"`
	Patient     api.Duration `yaml:"patient"`
}

// Decide implements retry.Rule; it leaves the decision to the other rules.
func (*Rule) Decide(*retry.Attempt) retry.Verdict { return retry.Verdict{} }

// Limits implements retry.Limiter.
func (r *Rule) Limits(class api.Class) retry.Limits {
	switch class {
	case api.ClassUrgent:
		return retry.Limits{Answer: r.Urgent.Std()}
	case api.ClassPatient:
		return retry.Limits{Answer: r.Patient.Std()}
	}
	return retry.Limits{Answer: r.Interactive.Std()}
}
