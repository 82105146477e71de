// Package retry decides whether a failed attempt is repeated. It does no I/O,
// reads no clock and draws no randomness. Rules are plug-ins.
package retry

import (
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is 1 for the first attempt. Attempts that found no upstream at
	// the address do not count, so it may be 0.
	Number      int
	MaxAttempts int
	// Why is the retry reason that the failure maps to.
	Why reason.Reason
	// Ran is what is known about this attempt and those before it.
	Ran        reason.Ran
	Idempotent bool
	// Resumable says that the answer can be continued after the bytes that
	// were already relayed.
	Resumable bool
	// Relayed is the number of answer bytes the caller may have seen.
	Relayed int
	// Jitter is a random number in [0, 1), drawn by the caller of the rules.
	Jitter float64
}

// Verdict is a rule's answer. The zero value allows an immediate retry.
type Verdict struct {
	Refusal reason.Reason
	After   time.Duration
}

// Rule decides whether an attempt may be repeated.
type Rule interface {
	Decide(a *Attempt) Verdict
}

// Observer is implemented by rules that count first attempts and retries.
type Observer interface {
	// FirstAttempt is called for each dispatch that is a request's first.
	FirstAttempt()
	// Retried is called once all rules have allowed a retry.
	Retried(a *Attempt)
}

// Check asks the rules in order. It returns the first refusal, or the longest
// delay that any rule asks for.
func Check(rules []Rule, a *Attempt) Verdict {
	var out Verdict
	for _, r := range rules {
		v := r.Decide(a)
		if v.Refusal != "" {
			return v
		}
		out.After = max(out.After, v.After)
	}
	for _, r := range rules {
		if o, ok := r.(Observer); ok {
			o.Retried(a)
		}
	}
	return out
}

// FirstAttempt tells the rules about a first dispatch.
func FirstAttempt(rules []Rule) {
	for _, r := range rules {
		if o, ok := r.(Observer); ok {
			o.FirstAttempt()
		}
	}
}

// Limits bound one attempt. 0 means no bound.
type Limits struct {
	// Answer bounds the time to the whole answer of a plain service. Streamed
	// answers have bounds of their own in the client of model engines.
	Answer time.Duration
}

// Limiter is implemented by rules that bound an attempt's time.
type Limiter interface {
	Limits(class api.Class) Limits
}

// LimitsOf returns the tightest limits of the rules.
func LimitsOf(rules []Rule, class api.Class) Limits {
	var out Limits
	for _, r := range rules {
		l, ok := r.(Limiter)
		if !ok {
			continue
		}
		if d := l.Limits(class).Answer; d > 0 && (out.Answer == 0 || d < out.Answer) {
			out.Answer = d
		}
	}
	return out
}
