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

// Rule limits the duration of one attempt on a plain service, so that an upstream that
// hangs does not delay a request until its deadline. The attempt then counts as failed
// and the request is retried on another upstream. Requests that are not idempotent have
// no such limit, since they could not be retried. Streamed answers are limited by the
// settings under "recovery".
type Rule struct {
	// Urgent, Interactive and Patient are the maximum times to the complete
	// answer, by class. Defaults 2s, 30s and 2m; 0 means no limit.
	Urgent      api.Duration `yaml:"urgent"`
	Interactive api.Duration `yaml:"interactive"`
	Patient     api.Duration `yaml:"patient"`
}

// Decide implements retry.Rule. It refuses no retry.
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
