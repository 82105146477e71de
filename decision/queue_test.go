package decision

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/route"
	"jaylink/internal/bench/synthetic"
	"jaylink/plugin/limit/customer"
	"jaylink/plugin/limit/deadline"
)

const weightedObjects = `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 10s, queue_length: 100000}
---
kind: Policy
name: lookups
spec: {selector: app=desk, idempotent: true}
---
kind: Policy
name: patient
spec: {selector: work=patient, class: patient}
---
kind: Policy
name: urgent
spec: {selector: work=urgent, class: urgent}
---
kind: Customer
name: large
spec: {selector: account=large, weight: 3}
---
kind: Customer
name: small
spec: {selector: account=small, max_in_flight: 8}
---
kind: Upstream
name: u1
labels: {pool: desk}
spec: {address: "127.0.0.1:1", protocol: http, availability_zone: a, region: r, slots: 1}
`

func newWeightedCore(t testing.TB) *Core {
	t.Helper()
	sources, err := api.DecodeYAML("objects.yaml", []byte(weightedObjects))
	require.NoError(t, err)
	list := api.Objects(sources)
	cfg := testConfig()
	cfg.Limits = append(cfg.Limits, &customer.Limit{}, &deadline.Limit{})
	c := New(cfg)
	c.Step(start, ConfigEvent{Catalog: api.NewCatalog(list)})
	return c
}

func customerRequest(account, id, work string) RequestEvent {
	return RequestEvent{ID: id, Labels: api.Labels{"app": "desk", "account": account, "work": work}}
}

// dispatched returns the IDs of the dispatched requests.
func dispatched(actions []Action) []string {
	var ids []string
	for _, a := range actions {
		if d, ok := a.(DispatchAction); ok {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// finishAttempt completes the running request and returns the ID of the one
// that is dispatched next.
func finishAttempt(t testing.TB, c *Core, now time.Time, id string) string {
	t.Helper()
	ids := dispatched(c.Step(now, AttemptEvent{ID: id, Attempt: 1, Upstream: "u1", Outcome: OutcomeDone, Ran: reason.RanYes}))
	require.Len(t, ids, 1)
	return ids[0]
}

func TestQueueDividesServiceByCustomerWeight(t *testing.T) {
	c := newWeightedCore(t)
	c.cfg.Limits = nil
	running := dispatched(c.Step(start, customerRequest("large", "first", "")))[0]
	for i := range 40 {
		c.Step(start, customerRequest("large", fmt.Sprintf("large-%d", i), ""))
	}
	for i := range 7 {
		c.Step(start, customerRequest("small", fmt.Sprintf("small-%d", i), ""))
	}
	small := 0
	for range 28 {
		running = finishAttempt(t, c, start, running)
		if running[:5] == "small" {
			small++
		}
	}
	require.Equal(t, 7, small, "weight 1 of 4, although the large customer's requests were queued first")
}

func TestHigherPriorityClassIsDispatchedFirst(t *testing.T) {
	c := newWeightedCore(t)
	running := dispatched(c.Step(start, customerRequest("large", "first", "")))[0]
	c.Step(start, customerRequest("large", "patient", "patient"))
	c.Step(start, customerRequest("small", "interactive", ""))
	running = finishAttempt(t, c, start, running)
	require.Equal(t, "interactive", running)
	require.Equal(t, "patient", finishAttempt(t, c, start, running))
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	c := newWeightedCore(t)
	running := dispatched(c.Step(start, customerRequest("large", "first", "")))[0]
	c.Step(start, customerRequest("large", "second", ""))
	// The fastest answer so far took 4 s, and the timeout is 10 s.
	at := start.Add(4 * time.Second)
	running = finishAttempt(t, c, at, running)
	require.Equal(t, "second", running)
	c.Step(at, customerRequest("large", "third", ""))
	wake, ok := c.NextWake()
	require.True(t, ok)
	require.False(t, wake.After(at.Add(queueRecheck)))
	late := at.Add(6 * time.Second)
	require.Empty(t, c.Step(late.Add(-time.Millisecond), TickEvent{}))
	a := lastAction[RefuseAction](t, c.Step(late, TickEvent{}))
	require.Equal(t, "third", a.ID)
	require.Equal(t, reason.DeadlineUnmet, a.Reason)
	require.Equal(t, reason.RanNo, a.Ran)
	require.Positive(t, a.RetryAfter)
}

func TestFullBacklogIsRefusedOnArrival(t *testing.T) {
	c := newWeightedCore(t)
	c.Step(start, customerRequest("large", "first", ""))
	// The default service time is 1 s, so 10 requests ahead take 10 s.
	for i := range 10 {
		c.Step(start, customerRequest("large", fmt.Sprint(i), ""))
	}
	c.Step(start, customerRequest("large", "last", ""))
	a := lastAction[RefuseAction](t, c.Step(start, customerRequest("large", "one more", "")))
	require.Equal(t, reason.DeadlineUnmet, a.Reason)
	require.GreaterOrEqual(t, a.RetryAfter, 10*time.Second)
}

func TestCustomerLimitCountsOtherEntries(t *testing.T) {
	c := newWeightedCore(t)
	c.Step(start, EntriesEvent{Live: 4})
	accepted := func() int { return c.Usage()["small"] }
	send := func(n int) {
		for range n {
			c.Step(start, customerRequest("small", fmt.Sprint(c.nextSeq), "patient"))
		}
	}
	send(4)
	require.Equal(t, 2, accepted(), "an even share of 8 between 4 entries")
	c.Step(start, UsageEvent{Peer: "b", InFlight: map[string]int{"small": 1}})
	send(4)
	require.Equal(t, 4, accepted(), "up to twice the even share while the total is below 8")
	c.Step(start, UsageEvent{Peer: "b"})
	require.Zero(t, c.inFlightOnOthers("small"))
	c.Step(start, UsageEvent{Peer: "c", InFlight: map[string]int{"small": 2}})
	require.Equal(t, 6, c.inFlightOnOthers("small"), "the report of one entry extrapolated to three")
	send(1)
	require.Equal(t, 4, accepted(), "no more requests with a total of 10")
}

func TestCustomerLimitCountsUrgentRequestsSeparately(t *testing.T) {
	c := newWeightedCore(t)
	for i := range 10 {
		c.Step(start, customerRequest("small", fmt.Sprint(i), "patient"))
	}
	require.Equal(t, 8, c.Usage()["small"])
	lastAction[AcceptAction](t, c.Step(start, customerRequest("small", "lookup", "urgent"))[:1])
}

// BenchmarkStepQueued measures a step while many requests are queued.
func BenchmarkStepQueued(b *testing.B) {
	for _, n := range []int{100, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newWeightedCore(b)
			c.cfg.Limits = nil
			running := dispatched(c.Step(start, customerRequest("large", "first", "")))[0]
			for i := range n {
				c.Step(start, customerRequest("large", fmt.Sprintf("q%d", i), ""))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				c.Step(start, customerRequest("large", fmt.Sprintf("n%d", i), ""))
				running = finishAttempt(b, c, start, running)
				c.NextWake()
			}
		})
	}
}

// BenchmarkStepReportSaturated measures a load report while all 710 upstreams
// are full and a request is queued.
func BenchmarkStepReportSaturated(b *testing.B) {
	c := newWeightedCore(b)
	c.cfg.Limits = nil
	objects := synthetic.Upstreams(710)
	catalog := append(c.catalog.Objects(), objects...)
	for _, o := range objects {
		o.Labels["pool"] = "desk"
	}
	c.Step(start, ConfigEvent{Catalog: api.NewCatalog(catalog)})
	full := route.Load{Running: api.DefaultSlots, At: start}
	for _, o := range c.catalog.Upstreams() {
		c.Step(start, LoadEvent{Upstream: o.Name, Load: full})
	}
	c.Step(start, customerRequest("large", "waits", ""))
	require.Equal(b, 1, c.queue.size)
	b.ReportAllocs()
	for b.Loop() {
		c.Step(start, LoadEvent{Upstream: objects[0].Name, Load: full})
	}
}
