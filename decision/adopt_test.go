package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
)

func adoptEvent(id string) AdoptEvent {
	return AdoptEvent{
		ID: id, Deadline: start.Add(time.Second), Dispatched: true,
		Labels: api.Labels{"app": "desk", "account": "c", "method": "GET"},
	}
}

// An adopted request is dispatched although the entry is draining.
func TestAdoptIsNotAdmittedAgain(t *testing.T) {
	c := newCore(t)
	c.Step(start, DrainEvent{})
	require.Equal(t, "adopted", lastAction[DispatchAction](t, c.Step(start, adoptEvent("adopted"))).ID)
}

func TestAdoptKeepsDeadlineAndRan(t *testing.T) {
	c := newCore(t)
	for _, id := range []string{"1", "2", "3"} {
		c.Step(start, adoptEvent(id))
	}
	out := c.Step(start.Add(time.Second), TickEvent{})
	refused := 0
	for _, a := range out {
		if r, ok := a.(RefuseAction); ok {
			require.Equal(t, reason.RanUnknown, r.Ran)
			refused++
		}
	}
	require.Equal(t, 1, refused, "the queued one; the running ones are canceled: %#v", out)
}

// After a ReleaseEvent the core returns no actions for the request, and the
// upstream's slot is free.
func TestReleasedRequestIsDropped(t *testing.T) {
	c := newCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	require.Empty(t, c.Step(start, ReleaseEvent{ID: "1"}))
	require.Zero(t, c.Table().Get(d.Upstream).InFlight)
	require.Empty(t, c.Step(start, AttemptEvent{ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeCanceled}))
	_, waits := c.NextWake()
	require.False(t, waits)
}

// A request that is known to crash upstreams is neither adopted from another
// entry nor migrated from a leaving upstream to another one.
func TestPoisonIsNeitherAdoptedNorMigrated(t *testing.T) {
	c := newCore(t)
	for _, upstream := range []string{"u7", "u8", "u9"} {
		c.Step(start, peerCrash(7, upstream, start))
	}
	ev := adoptEvent("adopted")
	ev.Fingerprint = 7
	a := lastAction[RefuseAction](t, c.Step(start, ev))
	require.Equal(t, reason.Poison, a.Reason)
	require.Equal(t, reason.RanUnknown, a.Ran)

	c = newRecoveryCore(t)
	d := lastAction[DispatchAction](t, c.Step(start, requestWithFingerprint("1", 7)))
	c.Step(start, LeavingEvent{Upstream: d.Upstream, Leaving: true})
	for _, upstream := range []string{"u7", "u8", "u9"} {
		c.Step(start, peerCrash(7, upstream, start))
	}
	end := crashedAttempt(d)
	end.Resumable = true
	a = lastAction[RefuseAction](t, c.Step(start, end))
	require.Equal(t, reason.Poison, a.Reason)
}
