package repeatable

import (
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

const (
	defaultBaseDelay = api.Duration(50 * time.Millisecond)
	defaultMaxDelay  = api.Duration(2 * time.Second)
)

// Rule allows a retry only if the request is idempotent or if it is certain that no
// attempt executed it. Once bytes of the answer were relayed to the caller, the answer
// must also be resumable. The first retry is immediate; later ones are delayed by
// exponential backoff with jitter.
type Rule struct {
	// BaseDelay is the maximum delay before the second retry; it doubles for
	// each further one. Default 50ms.
	BaseDelay api.Duration `yaml:"base_delay"`
	// MaxDelay is the maximum delay before any retry. Default 2s.
	MaxDelay api.Duration `yaml:"max_delay"`
}

// Decide implements retry.Rule.
func (r *Rule) Decide(a *retry.Attempt) retry.Verdict {
	if !a.Idempotent && a.Ran != reason.RanNo {
		return retry.Verdict{Refusal: reason.NotRepeatable}
	}
	if a.Relayed > 0 && !a.Resumable {
		return retry.Verdict{Refusal: reason.NotRepeatable}
	}
	if a.Number >= a.MaxAttempts {
		return retry.Verdict{Refusal: reason.AttemptsUsedUp}
	}
	if a.Number <= 1 {
		return retry.Verdict{}
	}
	ceiling := min(r.BaseDelay.Std()<<min(a.Number-2, 16), r.MaxDelay.Std())
	return retry.Verdict{Delay: ceiling/2 + time.Duration(a.Jitter*float64(ceiling/2))}
}
