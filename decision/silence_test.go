package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

// silent reports that the upstream of an attempt is silent.
func silent(c *Core, a DispatchAction) []Action {
	return c.Step(start, SilenceEvent{ID: a.ID, Attempt: a.Attempt})
}

// A silent attempt is given up only if the next one is certain to be made.
func TestSilentAttemptIsGivenUpWithoutAnAlternative(t *testing.T) {
	t.Run("no other upstream", func(t *testing.T) {
		c := newSizedCore(t, "interactive", 1)
		a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
		require.Empty(t, silent(c, a))
		lastAction[FinishAction](t, c.Step(start, AttemptEvent{
			ID: "1", Attempt: a.Attempt, Upstream: a.Upstream, Outcome: OutcomeDone, Ran: reason.RanYes,
		}))
	})
	t.Run("retry budget empty", func(t *testing.T) {
		c := newSizedCore(t, "interactive", 4)
		for range 2 {
			a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
			a = lastAction[DispatchAction](t, failAttempt(c, start, a, OutcomeBroken))
			c.Step(start, AttemptEvent{ID: "1", Attempt: a.Attempt, Upstream: a.Upstream, Outcome: OutcomeDone, Ran: reason.RanYes})
		}
		a := lastAction[DispatchAction](t, c.Step(start, requestEvent("2", "GET", "")))
		require.Empty(t, silent(c, a))
	})
	t.Run("may run once", func(t *testing.T) {
		c := newSizedCore(t, "interactive", 4)
		a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "POST", "")))
		require.Empty(t, silent(c, a))
	})
	t.Run("an earlier attempt", func(t *testing.T) {
		c := newSizedCore(t, "interactive", 4)
		first := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
		lastAction[DispatchAction](t, failAttempt(c, start, first, OutcomeBroken))
		require.Empty(t, silent(c, first))
	})
}

// The retry that was taken when a silent attempt was given up is used, whatever has become of the
// budget since, and is taken once.
func TestRetryOfASilentAttemptIsRefused(t *testing.T) {
	c := newSizedCore(t, "interactive", 4)
	a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	require.Equal(t, GiveUpAction{ID: "1", Attempt: a.Attempt}, lastAction[GiveUpAction](t, silent(c, a)))
	require.Empty(t, silent(c, a), "asked twice")
	rules := c.cfg.Rules
	for retry.Check(rules, &retry.Attempt{Number: 1, MaxAttempts: 2, Reason: reason.StreamBroken, Idempotent: true}).Refusal == "" {
	}
	next := lastAction[DispatchAction](t, failAttempt(c, start, a, OutcomeBroken))
	require.NotEqual(t, a.Upstream, next.Upstream)
	require.Empty(t, silent(c, next), "the budget is empty")
	lastAction[RefuseAction](t, failAttempt(c, start.Add(time.Millisecond), next, OutcomeBroken))
}
