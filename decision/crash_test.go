package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/poison"
	"jaylink/decision/reason"
)

// requestWithFingerprint returns an idempotent request with a fingerprint.
func requestWithFingerprint(id string, fingerprint uint64) RequestEvent {
	ev := requestEvent(id, "GET", "")
	ev.Fingerprint = fingerprint
	return ev
}

func crashedAttempt(a DispatchAction) AttemptEvent {
	return AttemptEvent{
		ID: a.ID, Attempt: a.Attempt, Upstream: a.Upstream,
		Outcome: OutcomeNoAnswer, Ran: reason.RanUnknown, Crashed: true,
	}
}

func peerCrash(fingerprint uint64, upstream string, at time.Time) CrashEvent {
	return CrashEvent{Crash: poison.Crash{Fingerprint: fingerprint, Upstream: upstream, At: at}}
}

func TestPoisonIsRefusedAfterTheLimitOfCrashes(t *testing.T) {
	c := newCore(t)
	c.Step(start, peerCrash(7, "u8", start))
	c.Step(start, peerCrash(7, "u9", start))
	d := lastAction[DispatchAction](t, c.Step(start, requestWithFingerprint("1", 7)))
	out := c.Step(start, crashedAttempt(d))
	require.IsType(t, CrashAction{}, out[0])
	a := lastAction[RefuseAction](t, out)
	require.Equal(t, reason.Poison, a.Reason)
	require.Equal(t, reason.RanUnknown, a.Ran)
	require.Zero(t, a.RetryAfter)

	a = lastAction[RefuseAction](t, c.Step(start, requestWithFingerprint("2", 7)))
	require.Equal(t, reason.Poison, a.Reason)
	require.Equal(t, reason.RanNo, a.Ran)
	lastAction[DispatchAction](t, c.Step(start, requestWithFingerprint("3", 8)))
}

func TestQueuedPoisonRequestIsRefused(t *testing.T) {
	c := newCore(t)
	c.Step(start, requestWithFingerprint("1", 1))
	c.Step(start, requestWithFingerprint("2", 2))
	c.Step(start, requestWithFingerprint("3", 7)) // queued: both upstreams are busy
	c.Step(start, peerCrash(7, "u8", start))
	c.Step(start, peerCrash(7, "u9", start))
	a := lastAction[RefuseAction](t, c.Step(start, peerCrash(7, "u10", start)))
	require.Equal(t, "3", a.ID)
	require.Equal(t, reason.Poison, a.Reason)
}

func isCrash(a Action) bool {
	_, ok := a.(CrashAction)
	return ok
}

func TestBrokenConnectionWithoutCrashIsNotCounted(t *testing.T) {
	cases := map[string]func(c *Core, ev *AttemptEvent){
		"no crash":         func(_ *Core, ev *AttemptEvent) { ev.Crashed = false },
		"leaving upstream": func(c *Core, ev *AttemptEvent) { c.Step(start, LeavingEvent{Upstream: ev.Upstream, Leaving: true}) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCore(t)
			d := lastAction[DispatchAction](t, c.Step(start, requestWithFingerprint("1", 7)))
			ev := crashedAttempt(d)
			change(c, &ev)
			for _, a := range c.Step(start, ev) {
				require.False(t, isCrash(a))
			}
			require.Zero(t, c.poison.Crashes(7))
		})
	}
}
