package budget

import (
	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

const (
	defaultShare = 0.2
	defaultBurst = 10.0
)

// Rule bounds retries to a share of first attempts, so that a failing service
// is not given a multiple of its load. Retries are free if the cause is the
// upstream's planned leaving, or if no upstream was found at the address, since
// that attempt put no load on any.
type Rule struct {
	// Share is the number of retries earned by one first attempt. Default 0.2.
	Share float64 `yaml:"share"`
	// Burst is the number of retries that can be saved up. Default 10.
	Burst float64 `yaml:"burst"`

	tokens float64
}

// Decide implements retry.Rule.
func (r *Rule) Decide(a *retry.Attempt) retry.Verdict {
	if free(a) || r.tokens >= 1 {
		return retry.Verdict{}
	}
	return retry.Verdict{Refusal: reason.RetryBudget}
}

// FirstAttempt implements retry.Observer.
func (r *Rule) FirstAttempt() { r.tokens = min(r.tokens+r.Share, r.Burst) }

// Retried implements retry.Observer.
func (r *Rule) Retried(a *retry.Attempt) {
	if !free(a) {
		r.tokens = max(r.tokens-1, 0)
	}
}

func free(a *retry.Attempt) bool {
	return a.Why == reason.UpstreamLeaving || a.Why == reason.ConnectFailed
}
