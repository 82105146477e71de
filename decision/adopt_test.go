package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
)

func adoption(id string) AdoptEvent {
	return AdoptEvent{
		ID: id, Deadline: start.Add(time.Second), Dispatched: true,
		Labels: api.Labels{"app": "desk", "account": "c", "method": "GET"},
	}
}

// An adopted request is run although the entry drains and its queue is full.
func TestAdoptIsNotAdmittedAgain(t *testing.T) {
	c := newCore(t)
	c.Step(start, DrainEvent{})
	require.Equal(t, "adopted", last[DispatchAction](t, c.Step(start, adoption("adopted"))).ID)
}

func TestAdoptKeepsDeadlineAndRan(t *testing.T) {
	c := newCore(t)
	for _, id := range []string{"1", "2", "3"} {
		c.Step(start, adoption(id))
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

// After a release nothing happens for the request, and its slot is free.
func TestReleaseForgets(t *testing.T) {
	c := newCore(t)
	d := last[DispatchAction](t, c.Step(start, arrival("1", "GET", "")))
	require.Empty(t, c.Step(start, ReleaseEvent{ID: "1"}))
	require.Zero(t, c.Table().Get(d.Upstream).InFlight)
	require.Empty(t, c.Step(start, AttemptEvent{ID: "1", Attempt: d.Attempt, Upstream: d.Upstream, Outcome: OutcomeCanceled}))
	_, waits := c.NextWake()
	require.False(t, waits)
}

// A request that is known to crash upstreams is not taken from one entry to the
// next, nor from a leaving upstream to another.
func TestPoisonIsNotHandedOn(t *testing.T) {
	c := newCore(t)
	for _, upstream := range []string{"u7", "u8", "u9"} {
		c.Step(start, elsewhere(7, upstream, start))
	}
	ev := adoption("adopted")
	ev.Fingerprint = 7
	a := last[RefuseAction](t, c.Step(start, ev))
	require.Equal(t, reason.Poison, a.Reason)
	require.Equal(t, reason.RanUnknown, a.Ran)

	c = newMovingCore(t)
	d := last[DispatchAction](t, c.Step(start, crashArrival("1", 7)))
	c.Step(start, LeavingEvent{Upstream: d.Upstream, Leaving: true})
	for _, upstream := range []string{"u7", "u8", "u9"} {
		c.Step(start, elsewhere(7, upstream, start))
	}
	end := crashEnd(d)
	end.Resumable = true
	a = last[RefuseAction](t, c.Step(start, end))
	require.Equal(t, reason.Poison, a.Reason)
}
