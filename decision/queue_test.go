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

const fairObjects = `
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

func newFairCore(t testing.TB) *Core {
	t.Helper()
	sources, err := api.DecodeYAML("objects.yaml", []byte(fairObjects))
	require.NoError(t, err)
	list := api.Objects(sources)
	cfg := testConfig()
	cfg.Limits = append(cfg.Limits, &customer.Limit{}, &deadline.Limit{})
	c := New(cfg)
	c.Step(start, ConfigEvent{Catalog: api.NewCatalog(list)})
	return c
}

func from(account, id, work string) RequestEvent {
	return RequestEvent{ID: id, Labels: api.Labels{"app": "desk", "account": account, "work": work}}
}

// dispatched returns the IDs of the requests that actions start.
func dispatched(actions []Action) []string {
	var ids []string
	for _, a := range actions {
		if d, ok := a.(DispatchAction); ok {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// finishOne ends the running request and returns what is started next.
func finishOne(t testing.TB, c *Core, now time.Time, id string) string {
	t.Helper()
	ids := dispatched(c.Step(now, AttemptEvent{ID: id, Attempt: 1, Upstream: "u1", Outcome: OutcomeDone, Ran: reason.RanYes}))
	require.Len(t, ids, 1)
	return ids[0]
}

func TestQueueSharesByWeightBetweenCustomers(t *testing.T) {
	c := newFairCore(t)
	c.cfg.Limits = nil
	running := dispatched(c.Step(start, from("large", "first", "")))[0]
	for i := range 40 {
		c.Step(start, from("large", fmt.Sprintf("large-%d", i), ""))
	}
	for i := range 7 {
		c.Step(start, from("small", fmt.Sprintf("small-%d", i), ""))
	}
	small := 0
	for range 28 {
		running = finishOne(t, c, start, running)
		if running[:5] == "small" {
			small++
		}
	}
	require.Equal(t, 7, small, "one in four, though the large customer came first")
}

func TestPressingClassGoesFirst(t *testing.T) {
	c := newFairCore(t)
	running := dispatched(c.Step(start, from("large", "first", "")))[0]
	c.Step(start, from("large", "patient", "patient"))
	c.Step(start, from("small", "pressing", ""))
	running = finishOne(t, c, start, running)
	require.Equal(t, "pressing", running)
	require.Equal(t, "patient", finishOne(t, c, start, running))
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	c := newFairCore(t)
	running := dispatched(c.Step(start, from("large", "first", "")))[0]
	c.Step(start, from("large", "second", ""))
	// The fastest answer so far took 4 s of the 10 s that a request has.
	at := start.Add(4 * time.Second)
	running = finishOne(t, c, at, running)
	require.Equal(t, "second", running)
	c.Step(at, from("large", "third", ""))
	wake, ok := c.NextWake()
	require.True(t, ok)
	require.False(t, wake.After(at.Add(queueRecheck)))
	late := at.Add(6 * time.Second)
	require.Empty(t, c.Step(late.Add(-time.Millisecond), TickEvent{}))
	a := last[RefuseAction](t, c.Step(late, TickEvent{}))
	require.Equal(t, "third", a.ID)
	require.Equal(t, reason.DeadlineUnmet, a.Reason)
	require.Equal(t, reason.RanNo, a.Ran)
	require.Positive(t, a.RetryAfter)
}

func TestFullBacklogIsRefusedOnArrival(t *testing.T) {
	c := newFairCore(t)
	c.Step(start, from("large", "first", ""))
	// A request holds the slot for about 1 s, so ten ahead take 10 s.
	for i := range 10 {
		c.Step(start, from("large", fmt.Sprint(i), ""))
	}
	c.Step(start, from("large", "last", ""))
	a := last[RefuseAction](t, c.Step(start, from("large", "one more", "")))
	require.Equal(t, reason.DeadlineUnmet, a.Reason)
	require.GreaterOrEqual(t, a.RetryAfter, 10*time.Second)
}

func TestFleetLimitUsesWhatOtherEntriesLeave(t *testing.T) {
	c := newFairCore(t)
	c.Step(start, EntriesEvent{Live: 4})
	accepted := func() int { return c.Usage()["small"] }
	send := func(n int) {
		for range n {
			c.Step(start, from("small", fmt.Sprint(c.number), "patient"))
		}
	}
	send(4)
	require.Equal(t, 2, accepted(), "alone, the even share of 8")
	c.Step(start, UsageEvent{Peer: "b", InFlight: map[string]int{"small": 1}})
	send(4)
	require.Equal(t, 4, accepted(), "twice the share while the fleet is below 8")
	c.Step(start, UsageEvent{Peer: "b"})
	require.Zero(t, c.elsewhere("small"))
	c.Step(start, UsageEvent{Peer: "c", InFlight: map[string]int{"small": 2}})
	require.Equal(t, 6, c.elsewhere("small"), "three others like the one that was heard of")
	send(1)
	require.Equal(t, 4, accepted(), "nothing more with 10 in the fleet")
}

func TestUrgentRequestsAreNotRefusedForOtherWork(t *testing.T) {
	c := newFairCore(t)
	for i := range 10 {
		c.Step(start, from("small", fmt.Sprint(i), "patient"))
	}
	require.Equal(t, 8, c.Usage()["small"])
	last[AcceptAction](t, c.Step(start, from("small", "lookup", "urgent"))[:1])
}

// One step with many waiting requests.
func BenchmarkStepQueued(b *testing.B) {
	for _, n := range []int{100, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newFairCore(b)
			c.cfg.Limits = nil
			running := dispatched(c.Step(start, from("large", "first", "")))[0]
			for i := range n {
				c.Step(start, from("large", fmt.Sprintf("q%d", i), ""))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				c.Step(start, from("large", fmt.Sprintf("n%d", i), ""))
				running = finishOne(b, c, start, running)
				c.NextWake()
			}
		})
	}
}

// One load report while all 710 upstreams are full and a request waits.
func BenchmarkStepReportSaturated(b *testing.B) {
	c := newFairCore(b)
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
	c.Step(start, from("large", "waits", ""))
	require.Equal(b, 1, c.queue.size)
	b.ReportAllocs()
	for b.Loop() {
		c.Step(start, LoadEvent{Upstream: objects[0].Name, Load: full})
	}
}
