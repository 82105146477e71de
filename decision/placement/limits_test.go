package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/upstreamlimit"
	"jaylink/serving"
)

// newLimitedTable returns a table whose upstreams with the given IDs have stated a limit
// of 10 requests per second, and its limits. This entry is the only one, so that it has
// all permits.
func newLimitedTable(list []serving.Upstream, ids ...string) (*Table, *upstreamlimit.Limits) {
	limits := upstreamlimit.New("entry")
	limits.SetFleet(0, 0)
	for age := 5 * time.Second; age >= 0; age -= time.Second {
		limits.Tick(start.Add(-age))
	}
	t := newTestTable(list)
	t.SetLimits(limits)
	for _, id := range ids {
		stateLimit(t, limits, id, 10)
	}
	return t, limits
}

// stateLimit makes an upstream state a limit two seconds before start.
func stateLimit(t *Table, limits *upstreamlimit.Limits, id string, perSecond float64) {
	at := start.Add(-2 * time.Second)
	limits.Answer(t.states[id].Instance(), &perSecond, at, at)
	t.RefreshLimits()
}

func limitedRequest(now time.Time) *Request {
	return &Request{Service: plainService, Zone: "a1", TrueTime: now}
}

// An upstream with a limit gets requests after the others, and only as many as its limit
// allows.
func TestLimitedUpstreamIsUsedAfterTheOthers(t *testing.T) {
	tb, _ := newLimitedTable(upstreams("desk", "a1", "a2"), "u0")
	pick := func() (Choice, bool) {
		r := limitedRequest(start)
		c, ok := tb.Pick(start, r)
		if ok {
			tb.UsePermit(r, c)
			tb.Start(start, c, nil)
		}
		return c, ok
	}
	sent := map[string]int{}
	for range 60 {
		c, ok := pick()
		require.True(t, ok)
		if sent["u0"] == 0 && c.Upstream.ID == "u0" {
			require.Greater(t, sent["u1"], 6, "the slots of the other upstream come first")
		}
		require.Equal(t, c.Upstream.ID == "u0", c.Limited)
		sent[c.Upstream.ID]++
	}
	require.LessOrEqual(t, sent["u0"], 10, "permits of one second")
	require.Positive(t, sent["u0"])
}

// If all upstreams are limited, as many requests are placed as the limits allow, and the
// next one learns how many upstreams keep it back.
func TestRequestsBeyondAllLimitsAreNotPlaced(t *testing.T) {
	tb, _ := newLimitedTable(upstreams("desk", "a1", "a2"), "u0", "u1")
	sent := 0
	for r := limitedRequest(start); ; sent++ {
		c, ok := tb.Pick(start, r)
		if !ok {
			break
		}
		tb.UsePermit(r, c)
	}
	require.InDelta(t, 20, sent, 2)
	b := tb.Blocked(start, limitedRequest(start))
	require.Equal(t, 2, b.Limited)
	require.Zero(t, b.Paused)
	require.InDelta(t, 20, b.Rate, 1e-9)
	later := start.Add(300 * time.Millisecond)
	_, ok := tb.Pick(later, limitedRequest(later))
	require.True(t, ok)
}

// A paused upstream counts once, also if it is limited.
func TestPausedAndLimitedUpstreamsAreCountedOnce(t *testing.T) {
	list := upstreams("desk", "a1", "a2", "b1")
	tb, _ := newLimitedTable(list, "u0", "u1")
	tb.Pause(start, list[0], time.Second)
	tb.Pause(start, list[2], time.Second)
	r := limitedRequest(start)
	for {
		c, ok := tb.Pick(start, r)
		if !ok {
			break
		}
		require.Equal(t, "u1", c.Upstream.ID)
		tb.UsePermit(r, c)
	}
	b := tb.Blocked(start, r)
	require.Equal(t, 2, b.Paused)
	require.Equal(t, 1, b.Limited)
}

// A later run of an upstream, with the same ID and address, starts without its limit.
func TestNewRunOfAnUpstreamIsNotLimited(t *testing.T) {
	list := upstreams("desk", "a1")
	tb, _ := newLimitedTable(list, "u0")
	c, ok := tb.Pick(start, limitedRequest(start))
	require.True(t, ok)
	require.True(t, c.Limited)
	list[0].StartMillis++
	tb.SetUpstreams(list)
	c, ok = tb.Pick(start, limitedRequest(start))
	require.True(t, ok)
	require.False(t, c.Limited)
	list[0].StartMillis--
	tb.SetUpstreams(list)
	c, ok = tb.Pick(start, limitedRequest(start))
	require.True(t, ok)
	require.True(t, c.Limited, "an instance that is listed again keeps its limit")
}

// A limited upstream is the home of no shared prefix, unless all of its region are limited.
func TestHomeOfAPrefixIsNotLimited(t *testing.T) {
	list := upstreams("lm", "a1", "a1", "a1")
	tb, limits := newLimitedTable(list)
	r := &Request{Service: modelService, Zone: "a1", Prompt: prompt(100, serving.Part{Hash: 77, Tokens: 5000}), TrueTime: start}
	home := tb.home(r).ID
	stateLimit(tb, limits, home, 10)
	require.NotEqual(t, home, tb.home(r).ID)
	for _, u := range list {
		stateLimit(tb, limits, u.ID, 10)
	}
	require.Equal(t, home, tb.home(r).ID)
}

// A limit that was not confirmed for a while does not make the upstream more expensive,
// so that a request shows whether it still holds.
func TestOldLimitIsTriedAgain(t *testing.T) {
	tb, limits := newLimitedTable(upstreams("desk", "a1", "a2"), "u0")
	c, _ := tb.Pick(start, limitedRequest(start))
	require.Equal(t, "u1", c.Upstream.ID)
	later := start.Add(15 * time.Second)
	for at := start; !at.After(later); at = at.Add(time.Second) {
		limits.Tick(at)
	}
	c, _ = tb.Pick(later, limitedRequest(later))
	require.Equal(t, "u0", c.Upstream.ID)
}

// A permit that is returned can be used once more, until it expires or the limit changes.
func TestPermitThatWasNotUsedStaysTaken(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		change bool
		want   int
	}{
		"at once":                 {0, false, 1},
		"after it has expired":    {5 * time.Second, false, 0},
		"after the limit changed": {0, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb, limits := newLimitedTable(upstreams("desk", "a1"), "u0")
			now := start
			use := func() (used int, last Permit) {
				for {
					r := limitedRequest(now)
					choice, ok := tb.Pick(now, r)
					if !ok {
						return used, last
					}
					last = tb.UsePermit(r, choice)
					used++
				}
			}
			n, permit := use()
			require.Positive(t, n)
			for wait := time.Duration(0); wait < c.after; wait += time.Second {
				now = now.Add(time.Second)
				limits.Tick(now)
			}
			if c.change {
				slower := 8.0
				limits.Answer(tb.states["u0"].Instance(), &slower, now, now)
				tb.RefreshLimits()
			}
			_, _ = use()
			tb.ReturnPermit(limitedRequest(now), permit)
			n, _ = use()
			require.Equal(t, c.want, n)
		})
	}
}
