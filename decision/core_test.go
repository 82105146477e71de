package decision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
	"jaylink/decision/route"
	"jaylink/plugin/filter/capacity"
	"jaylink/plugin/filter/leaving"
	"jaylink/plugin/filter/suspect"
	queuelimit "jaylink/plugin/limit/queue"
	"jaylink/plugin/retry/repeatable"
	"jaylink/plugin/scorer/load"
)

const objects = `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 10s, queue_length: 1}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true}
---
kind: Upstream
name: u1
labels: {pool: desk}
spec: {address: "127.0.0.1:1", protocol: http, availability_zone: a, region: r, slots: 1}
---
kind: Upstream
name: u2
labels: {pool: desk}
spec: {address: "127.0.0.1:2", protocol: http, availability_zone: a, region: r, slots: 1}
`

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() Config {
	return Config{
		Zone: "a", Region: "r",
		Filters: []route.Filter{&leaving.Filter{}, &suspect.Filter{}, &capacity.Filter{}},
		Scorers: []route.Scorer{&load.Scorer{Weight: 1}},
		Limits:  []admission.Limit{&queuelimit.Limit{}},
		Rules:   []retry.Rule{&repeatable.Rule{}},
	}
}

func newCore(t *testing.T) *Core {
	t.Helper()
	sources, err := api.DecodeYAML("objects.yaml", []byte(objects))
	require.NoError(t, err)
	list := api.Objects(sources)
	c := New(testConfig())
	c.Step(start, ConfigEvent{Catalog: api.NewCatalog(list)})
	return c
}

func requestEvent(id, method, key string) RequestEvent {
	return RequestEvent{ID: id, Key: key, Labels: api.Labels{"app": "desk", "account": "c", "method": method}}
}

func lastAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	require.NotEmpty(t, actions)
	a, ok := actions[len(actions)-1].(T)
	require.True(t, ok, "%#v", actions)
	return a
}

func TestRefusesUnknownServiceAndCustomer(t *testing.T) {
	c := newCore(t)
	a := lastAction[RefuseAction](t, c.Step(start, RequestEvent{ID: "1"}))
	require.Equal(t, reason.UnknownService, a.Reason)
	a = lastAction[RefuseAction](t, c.Step(start, RequestEvent{ID: "2", Labels: api.Labels{"app": "desk"}}))
	require.Equal(t, reason.UnknownCustomer, a.Reason)
	require.Equal(t, reason.RanNo, a.Ran)
}

func TestIdempotentWorkIsRepeatedOnAnotherUpstream(t *testing.T) {
	c := newCore(t)
	first := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	second := lastAction[DispatchAction](t, c.Step(start, AttemptEvent{
		ID: "1", Attempt: 1, Upstream: first.Upstream, Outcome: OutcomeNoAnswer, Ran: reason.RanUnknown,
	}))
	require.NotEqual(t, first.Upstream, second.Upstream)
	require.Equal(t, reason.NoAnswer, second.Retry)
	lastAction[FinishAction](t, c.Step(start, AttemptEvent{ID: "1", Attempt: 2, Upstream: second.Upstream, Outcome: OutcomeDone, Ran: reason.RanYes}))
}

func TestNonIdempotentRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	cases := []struct {
		outcome Outcome
		ran     reason.Ran
		again   bool
	}{
		{OutcomeConnectFailed, reason.RanNo, true},
		{OutcomeNoAnswer, reason.RanUnknown, false},
		{OutcomeServerError, reason.RanUnknown, false},
	}
	for _, tc := range cases {
		c := newCore(t)
		first := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "POST", "")))
		out := c.Step(start, AttemptEvent{ID: "1", Attempt: 1, Upstream: first.Upstream, Outcome: tc.outcome, Ran: tc.ran})
		if tc.again {
			lastAction[DispatchAction](t, out)
			continue
		}
		a := lastAction[RefuseAction](t, out)
		require.Equal(t, reason.NotRepeatable, a.Reason)
		require.Equal(t, tc.ran, a.Ran)
	}
}

func TestKeyIsClaimedBeforeDispatch(t *testing.T) {
	c := newCore(t)
	lastAction[ClaimAction](t, c.Step(start, requestEvent("1", "POST", "k")))
	lastAction[DispatchAction](t, c.Step(start, ClaimEvent{ID: "1", Result: ClaimWon}))
	lastAction[ClaimAction](t, c.Step(start, requestEvent("2", "POST", "k")))
	a := lastAction[RefuseAction](t, c.Step(start, ClaimEvent{ID: "2", Result: ClaimFailed}))
	require.Equal(t, reason.ClaimUnavailable, a.Reason)
	require.Equal(t, reason.RanNo, a.Ran)
	require.Positive(t, a.RetryAfter)
}

func TestFullQueueIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	c := newCore(t)
	for _, id := range []string{"1", "2", "3"} {
		c.Step(start, requestEvent(id, "GET", ""))
	}
	a := lastAction[RefuseAction](t, c.Step(start, requestEvent("4", "GET", "")))
	require.Equal(t, reason.QueueFull, a.Reason)
	require.Positive(t, a.RetryAfter)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	c := newCore(t)
	c.Step(start, LeavingEvent{Upstream: "u1", Leaving: true})
	require.Equal(t, "u2", lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", ""))).Upstream)
}

func TestDeadlineCancelsRunningRequest(t *testing.T) {
	c := newCore(t)
	running := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	wake, ok := c.NextWake()
	require.True(t, ok)
	require.Equal(t, start.Add(10*time.Second), wake)
	lastAction[CancelAction](t, c.Step(wake, TickEvent{}))
	a := lastAction[RefuseAction](t, c.Step(wake, AttemptEvent{
		ID: "1", Attempt: 1, Upstream: running.Upstream, Outcome: OutcomeCanceled, Ran: reason.RanUnknown,
	}))
	require.Equal(t, reason.TimedOut, a.Reason)
	require.Equal(t, reason.RanUnknown, a.Ran)
	_, ok = c.NextWake()
	require.False(t, ok)
}

func TestDrainingRefusesNewRequests(t *testing.T) {
	c := newCore(t)
	c.Step(start, DrainEvent{})
	a := lastAction[RefuseAction](t, c.Step(start, requestEvent("1", "GET", "")))
	require.Equal(t, reason.Draining, a.Reason)
}
