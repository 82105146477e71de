package decision

import (
	"slices"
	"time"

	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

// SilenceEvent reports that the upstream of a running attempt has sent nothing for too long.
type SilenceEvent struct {
	ID      string
	Attempt int
	// Relayed, Resumable and Jitter are as in AttemptEvent.
	Relayed   int
	Resumable bool
	Jitter    float64
}

// GiveUpAction asks the driver to end the silent attempt of a request. The next one is certain
// to be allowed.
type GiveUpAction struct {
	ID      string
	Attempt int
}

func (SilenceEvent) event()  {}
func (GiveUpAction) action() {}

// handleSilence gives a silent attempt up once another upstream can take the request and a retry
// is allowed, which is used then. Silence does not show that an upstream has stopped working.
func (c *Core) handleSilence(now time.Time, ev SilenceEvent) []Action {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning || r.attempts != ev.Attempt || r.timedOut || r.granted != nil {
		return nil
	}
	if !c.hasAlternative(now, r) {
		return nil
	}
	v := retry.Check(c.cfg.Rules, failedAttempt(r, AttemptEvent{
		Outcome: OutcomeBroken, Relayed: ev.Relayed, Resumable: ev.Resumable, Jitter: ev.Jitter,
	}, reason.RanUnknown))
	if v.Refusal != "" || !now.Add(v.Delay).Before(r.deadline) {
		return nil
	}
	r.granted = &v
	return []Action{GiveUpAction{ID: r.id, Attempt: r.attempts}}
}

// hasAlternative reports whether another upstream than that of a running attempt can take the
// request now.
func (c *Core) hasAlternative(now time.Time, r *request) bool {
	other := r.route
	other.Tried = append(slices.Clone(r.route.Tried), r.upstream)
	u := c.table.Pick(now, &other)
	return u != nil && !slices.Contains(other.Tried, u.Name)
}
