package decision

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
	"jaylink/decision/route"
	"jaylink/plugin/filter/suspect"
	"jaylink/plugin/retry/budget"
	"jaylink/plugin/retry/repeatable"
)

// newSizedCore returns a core with retry rules and a service of the given class
// and number of upstreams.
func newSizedCore(t *testing.T, class string, upstreams int) *Core {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 10m, class: %s}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true}
`, class)
	for i := range upstreams {
		fmt.Fprintf(&text, "---\nkind: Upstream\nname: u%d\nlabels: {pool: desk}\nspec: {address: \"127.0.0.1:%d\", protocol: http, availability_zone: a, region: r}\n", i, i+1)
	}
	sources, err := api.DecodeYAML("objects.yaml", []byte(text.String()))
	require.NoError(t, err)
	list := api.Objects(sources)
	limit := &budget.Rule{Share: 0.2, Burst: 2}
	require.NoError(t, limit.Provision())
	c := New(Config{
		Zone: "a", Region: "r",
		Filters: []route.Filter{&suspect.Filter{}},
		Rules:   []retry.Rule{&repeatable.Rule{}, limit},
	})
	c.Step(start, ConfigEvent{Catalog: api.NewCatalog(list)})
	return c
}

// failAttempt ends an attempt with the given outcome.
func failAttempt(c *Core, now time.Time, a DispatchAction, o Outcome) []Action {
	ran := reason.RanUnknown
	if o == OutcomeConnectFailed {
		ran = reason.RanNo
	}
	return c.Step(now, AttemptEvent{ID: a.ID, Attempt: a.Attempt, Upstream: a.Upstream, Outcome: o, Ran: ran})
}

func TestRequestFindsTheOneUpstreamThatIsThere(t *testing.T) {
	const upstreams = 18
	for _, class := range []string{"patient", "interactive", "urgent"} {
		c := newSizedCore(t, class, upstreams)
		a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
		for range upstreams - 1 {
			a = lastAction[DispatchAction](t, failAttempt(c, start, a, OutcomeConnectFailed))
		}
		lastAction[FinishAction](t, c.Step(start, AttemptEvent{
			ID: "1", Attempt: a.Attempt, Upstream: a.Upstream, Outcome: OutcomeDone, Ran: reason.RanYes,
		}))
	}
}

func TestPatientRequestWaitsForAnUpstreamAndOthersAreRefusedAtOnce(t *testing.T) {
	for class, waits := range map[string]bool{"patient": true, "interactive": false, "urgent": false} {
		c := newSizedCore(t, class, 2)
		a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
		a = lastAction[DispatchAction](t, failAttempt(c, start, a, OutcomeConnectFailed))
		out := failAttempt(c, start, a, OutcomeConnectFailed)
		if !waits {
			refused := lastAction[RefuseAction](t, out)
			require.Equal(t, reason.NoUpstream, refused.Reason)
			require.Equal(t, reason.RanNo, refused.Ran)
			require.Positive(t, refused.RetryAfter)
			continue
		}
		require.Empty(t, out)
		lastAction[DispatchAction](t, c.Step(start.Add(time.Minute), TickEvent{}))
	}
}

// A request that has failed on every upstream is retried on the same upstreams
// until its attempts are used up. It does not wait for its deadline.
func TestRequestGoesBackToUpstreamsThatFailedIt(t *testing.T) {
	c := newSizedCore(t, "interactive", 2)
	a := lastAction[DispatchAction](t, c.Step(start, requestEvent("1", "GET", "")))
	a = lastAction[DispatchAction](t, failAttempt(c, start, a, OutcomeBroken))
	failAttempt(c, start, a, OutcomeBroken)
	later := start.Add(time.Minute)
	a = lastAction[DispatchAction](t, c.Step(later, TickEvent{}))
	require.Equal(t, 3, a.Attempt)
	require.Equal(t, reason.AttemptsUsedUp, lastAction[RefuseAction](t, failAttempt(c, later, a, OutcomeBroken)).Reason)
}
