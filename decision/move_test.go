package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/decision/recovery"
)

func newRecoveryCore(t *testing.T) *Core {
	c := newCore(t)
	c.cfg.Recovery = recovery.NewPlanner(recovery.Rates{CacheBytes: 1, Export: 1 << 30, Link: 1 << 20, Prefill: 1000, TextBytes: 4})
	return c
}

func reclaimEvent(d DispatchAction, left int) ReclaimEvent {
	return ReclaimEvent{Upstream: d.Upstream, Deadline: start.Add(2 * time.Second), Streams: []recovery.Stream{
		{ID: d.ID, Prompt: 100, Generated: 10, Left: left, Interval: 10 * time.Millisecond},
	}}
}

// A stream that won't finish before the reclaim moves to the planned upstream,
// and the migration does not count as a failed attempt.
func TestReclaimMovesStream(t *testing.T) {
	c := newRecoveryCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	m := lastAction[MoveAction](t, c.Step(start, reclaimEvent(d, 1000)))
	require.True(t, m.Cache)
	require.NotEqual(t, d.Upstream, m.To.Name)
	lastAction[CancelAction](t, c.Step(start, MovedEvent{ID: "1", Attempt: m.Attempt}))
	next := lastAction[DispatchAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeCanceled, Ran: reason.RanUnknown, Relayed: 5, Resumable: true,
	}))
	require.Equal(t, m.To.Name, next.Upstream)
	require.Equal(t, reason.UpstreamLeaving, next.Retry)
	require.Equal(t, 1, c.requests["1"].move.count)
}

func TestReclaimLetsShortStreamFinish(t *testing.T) {
	c := newRecoveryCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	require.Empty(t, c.Step(start, reclaimEvent(d, 10)))
}

// Requests that are not idempotent are neither migrated nor retried, even if
// their upstream is leaving.
func TestReclaimLeavesWorkThatIsNotIdempotent(t *testing.T) {
	c := newRecoveryCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "POST", "")))
	require.Empty(t, c.Step(start, reclaimEvent(d, 1000)))
	a := lastAction[RefuseAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeBroken, Ran: reason.RanUnknown, Resumable: true,
	}))
	require.Equal(t, reason.NotRepeatable, a.Reason)
	require.Equal(t, reason.RanUnknown, a.Ran)
}

// A stream that breaks on a leaving upstream is continued elsewhere without
// consulting the retry rules.
func TestBreakOnLeavingUpstreamIsNotAFailedAttempt(t *testing.T) {
	c := newRecoveryCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	c.Step(start, LeavingEvent{Upstream: d.Upstream, Leaving: true})
	next := lastAction[DispatchAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeBroken, Ran: reason.RanYes, Relayed: 5, Resumable: true,
	}))
	require.Equal(t, reason.UpstreamLeaving, next.Retry)
}

// A MovedEvent is ignored if the attempt has already ended.
func TestMovedEventAfterAttemptEndedIsIgnored(t *testing.T) {
	c := newRecoveryCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	c.Step(start, reclaimEvent(d, 1000))
	lastAction[FinishAction](t, c.Step(start, AttemptEvent{ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeDone, Ran: reason.RanYes}))
	require.Empty(t, c.Step(start, MovedEvent{ID: "1", Attempt: d.Attempt}))
}
