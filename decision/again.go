package decision

import (
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

// again asks the retry rules about a failed attempt.
func (c *Core) again(now time.Time, r *request, ev AttemptEvent) []Action {
	why := retryReason(ev.Outcome)
	if ev.Outcome == OutcomeConnectFailed {
		r.unreached++
	}
	v := retry.Check(c.cfg.Rules, &retry.Attempt{
		Number:      r.attempts - r.move.count - r.unreached,
		MaxAttempts: r.res.MaxAttempts,
		Why:         why,
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
	if v.After > 0 {
		r.phase = phaseBackoff
		wake := now.Add(v.After)
		if wake.After(r.deadline) {
			wake = r.deadline
		}
		c.wakes.set(r, wake)
		return nil
	}
	c.enqueue(r)
	return nil
}

// triedAll reports whether every upstream of the request's service that is not
// leaving has failed it.
func (c *Core) triedAll(r *request) bool {
	for _, u := range c.table.Candidates(r.route.Upstreams) {
		if !u.Leaving && !slices.Contains(r.route.Tried, u.Name) {
			return false
		}
	}
	return true
}
