package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/decision/recovery"
)

func newMovingCore(t *testing.T) *Core {
	c := newCore(t)
	c.cfg.Recovery = recovery.NewPlanner(recovery.Rates{CacheBytes: 1, Export: 1 << 30, Link: 1 << 20, Prefill: 1000, TextBytes: 4})
	return c
}

func reclaimOf(d DispatchAction, left int) ReclaimEvent {
	return ReclaimEvent{Upstream: d.Upstream, Deadline: start.Add(2 * time.Second), Streams: []recovery.Stream{
		{ID: d.ID, Prompt: 100, Generated: 10, Left: left, Interval: 10 * time.Millisecond},
	}}
}

// A stream that won't end in time moves to the planned upstream, and the move
// does not count as a failed attempt.
func TestReclaimMovesStream(t *testing.T) {
	c := newMovingCore(t)
	d := last[DispatchAction](t, c.Step(start, arrival("1", "GET", "")))
	m := last[MoveAction](t, c.Step(start, reclaimOf(d, 1000)))
	require.True(t, m.Cache)
	require.NotEqual(t, d.Upstream, m.To.Name)
	last[CancelAction](t, c.Step(start, MovedEvent{ID: "1", Attempt: m.Attempt}))
	next := last[DispatchAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeCanceled, Ran: reason.RanUnknown, Relayed: 5, Resumable: true,
	}))
	require.Equal(t, m.To.Name, next.Upstream)
	require.Equal(t, reason.UpstreamLeaving, next.Retry)
	require.Equal(t, 1, c.requests["1"].move.count)
}

func TestReclaimLetsShortStreamFinish(t *testing.T) {
	c := newMovingCore(t)
	d := last[DispatchAction](t, c.Step(start, arrival("1", "GET", "")))
	require.Empty(t, c.Step(start, reclaimOf(d, 10)))
}

// Work that is not idempotent is left alone, also when its upstream leaves.
func TestReclaimLeavesWorkThatIsNotIdempotent(t *testing.T) {
	c := newMovingCore(t)
	d := last[DispatchAction](t, c.Step(start, arrival("1", "POST", "")))
	require.Empty(t, c.Step(start, reclaimOf(d, 1000)))
	a := last[RefuseAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeBroken, Ran: reason.RanUnknown, Resumable: true,
	}))
	require.Equal(t, reason.NotRepeatable, a.Reason)
	require.Equal(t, reason.RanUnknown, a.Ran)
}

// A stream that breaks on a leaving upstream goes on whatever the retry rules
// say.
func TestBreakOnLeavingUpstreamIsNotAFailure(t *testing.T) {
	c := newMovingCore(t)
	d := last[DispatchAction](t, c.Step(start, arrival("1", "GET", "")))
	c.Step(start, LeavingEvent{Upstream: d.Upstream, Leaving: true})
	next := last[DispatchAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeBroken, Ran: reason.RanYes, Relayed: 5, Resumable: true,
	}))
	require.Equal(t, reason.UpstreamLeaving, next.Retry)
}

// An attempt that ends by itself just before its move is not touched.
func TestMovedAfterTheEndChangesNothing(t *testing.T) {
	c := newMovingCore(t)
	d := last[DispatchAction](t, c.Step(start, arrival("1", "GET", "")))
	c.Step(start, reclaimOf(d, 1000))
	last[FinishAction](t, c.Step(start, AttemptEvent{ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeDone, Ran: reason.RanYes}))
	require.Empty(t, c.Step(start, MovedEvent{ID: "1", Attempt: d.Attempt}))
}
