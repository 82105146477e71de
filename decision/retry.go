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
	v := retry.Check(c.cfg.Rules, &retry.Attempt{
		Number:      r.attempts - r.move.count - r.connectFailures,
		MaxAttempts: r.res.MaxAttempts,
		Reason:      why,
		Ran:         r.ran,
		Idempotent:  r.res.Idempotent,
		Resumable:   ev.Resumable,
		Relayed:     ev.Relayed,
		Jitter:      ev.Jitter,
	})
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
