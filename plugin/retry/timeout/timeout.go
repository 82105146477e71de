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
	defaultIdle        = api.Duration(10 * time.Second)
)

// Rule bounds the time that one attempt may make no progress, so that an upstream
// that hangs does not hold a request to its deadline. The attempt then counts as
// failed and is repeated elsewhere. Work that is not idempotent has no such bound,
// since it could not be repeated.
type Rule struct {
	// Urgent, Interactive and Patient bound the time to the first piece of a
	// streamed answer, or to the whole answer of a plain service, by class. The
	// time that the request waits in the upstream's own queue counts. Defaults
	// 2s, 30s and 2m.
	Urgent      api.Duration `yaml:"urgent"`
	Interactive api.Duration `yaml:"interactive"`
	Patient     api.Duration `yaml:"patient"`
	// Idle bounds the time between two pieces of a streamed answer. Default 10s.
	Idle api.Duration `yaml:"idle"`
}

// Decide implements retry.Rule; it leaves the decision to the other rules.
func (*Rule) Decide(*retry.Attempt) retry.Verdict { return retry.Verdict{} }

// Limits implements retry.Limiter.
func (r *Rule) Limits(class api.Class) retry.Limits {
	first := r.Interactive
	switch class {
	case api.ClassUrgent:
		first = r.Urgent
	case api.ClassPatient:
		first = r.Patient
	}
	return retry.Limits{FirstByte: first.Std(), Idle: r.Idle.Std()}
}
