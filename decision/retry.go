package decision

import (
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

// retryOrRefuse applies the retry rules to a failed attempt.
func (c *Core) retryOrRefuse(now time.Time, r *request, ev AttemptEvent) []Action {
	why := retryReason(ev.Outcome)
	if ev.Outcome == OutcomeConnectFailed {
		r.connectFailures++
	}
	v := c.takeRetry(r, ev)
	if v.Refusal != "" {
		return c.refuse(now, r, v.Refusal)
	}
	r.retry = why
	r.route.Tried = append(r.route.Tried, ev.Upstream)
	if c.triedAll(r) {
		if ev.Outcome == OutcomeConnectFailed && r.res.Class != api.ClassPatient {
			return c.refuse(now, r, reason.NoUpstream)
		}
		r.route.Tried = nil
	}
	if v.Delay > 0 {
		r.phase = phaseBackoff
		wake := now.Add(v.Delay)
		if wake.After(r.deadline) {
			wake = r.deadline
		}
		c.timers.set(r, wake)
		return nil
	}
	c.enqueue(r)
	return nil
}

// takeRetry returns whether and when a failed attempt may be followed by another one. That was
// decided already if the attempt was given up for its silence.
func (c *Core) takeRetry(r *request, ev AttemptEvent) retry.Verdict {
	if granted := r.granted; granted != nil {
		r.granted = nil
		return *granted
	}
	return retry.Check(c.cfg.Rules, failedAttempt(r, ev, r.ran))
}

// failedAttempt describes a failed attempt for the retry rules.
func failedAttempt(r *request, ev AttemptEvent, ran reason.Ran) *retry.Attempt {
	return &retry.Attempt{
		Number:      r.attempts - r.move.count - r.connectFailures,
		MaxAttempts: r.res.MaxAttempts,
		Reason:      retryReason(ev.Outcome),
		Ran:         ran,
		Idempotent:  r.res.Idempotent,
		Resumable:   ev.Resumable,
		Relayed:     ev.Relayed,
		Jitter:      ev.Jitter,
	}
}

// triedAll reports whether the request has failed on every upstream of its
// service that is not leaving.
func (c *Core) triedAll(r *request) bool {
	for _, u := range c.table.Candidates(r.route.Upstreams) {
		if !u.Leaving && !slices.Contains(r.route.Tried, u.Name) {
			return false
		}
	}
	return true
}
