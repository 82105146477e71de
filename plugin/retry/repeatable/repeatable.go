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

// Rule allows a retry only where nothing can run twice: the work is idempotent,
// or it is certain that no attempt ran. Once bytes were relayed, the answer
// must be resumable. Retries are spaced by an exponential delay with jitter;
// the first retry comes at once.
type Rule struct {
	// BaseDelay is the delay before the second retry. Default 50ms.
	BaseDelay api.Duration `yaml:"base_delay"`
	// MaxDelay bounds the delay. Default 2s.
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
	return retry.Verdict{After: ceiling/2 + time.Duration(a.Jitter*float64(ceiling/2))}
}
