package budget

import (
	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

const (
	defaultShare = 0.2
	defaultBurst = 10.0
)

// Rule limits retries to a share of first attempts, so that they don't multiply the
// load on a failing service. A retry does not count if the upstream was leaving as
// planned, or if no connection could be made, since such an attempt put no load on
// any upstream.
type Rule struct {
	// Share is the number of retries that each first attempt adds to the budget.
	// Default 0.2.
	Share float64 `yaml:"share"`
	// Burst is the maximum and the initial budget. Default 10.
	Burst float64 `yaml:"burst"`

	tokens float64
}

// Decide implements retry.Rule.
func (r *Rule) Decide(a *retry.Attempt) retry.Verdict {
	if isFree(a) || r.tokens >= 1 {
		return retry.Verdict{}
	}
	return retry.Verdict{Refusal: reason.RetryBudget}
}

// FirstAttempt implements retry.Observer.
func (r *Rule) FirstAttempt() { r.tokens = min(r.tokens+r.Share, r.Burst) }

// Retried implements retry.Observer.
func (r *Rule) Retried(a *retry.Attempt) {
	if !isFree(a) {
		r.tokens = max(r.tokens-1, 0)
	}
}

// isFree reports whether a retry of the attempt does not count against the budget.
func isFree(a *retry.Attempt) bool {
	return a.Reason == reason.UpstreamLeaving || a.Reason == reason.ConnectFailed
}
