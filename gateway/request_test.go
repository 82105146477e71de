package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

func TestAnswersAreRelayedUnchanged(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine, counterServer := d.upstream("i-1", engineService), d.upstream("i-2", counterService)
	e := d.startEntry("entry-1")

	a := e.send(t, streamCall("stream", "r-1"))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, completeStream(), a.body)
	require.Equal(t, "seal-i-1", a.header.Get("Response-Seal"))
	require.Equal(t, "r-1", a.header.Get("Request-Id"))

	a = e.send(t, plainCall("order", "r-2"))
	require.NoError(t, a.err)
	require.Equal(t, "answer to /order/1?x=1", a.body)
	require.Equal(t, "seal-i-2", a.header.Get("Response-Seal"))

	require.Len(t, engine.Runs(), 1)
	require.Len(t, counterServer.Runs(), 1)
	require.Equal(t, "body", counterServer.Runs()[0].Body)
}

// Headers that only the entry may set are removed from callers' requests.
func TestCallersCannotSetReservedHeaders(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine := d.upstream("i-1", engineService)
	e := d.startEntry("entry-1")
	c := streamCall("stream", "r-1")
	forged := []string{"Tenant", "Target-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Request-Urgency"}
	for _, name := range forged {
		c.Header[name] = "forged"
	}
	c.Header["X-Other"] = "kept"
	require.Equal(t, http.StatusOK, e.send(t, c).status)
	h := engine.Runs()[0].Header
	for _, name := range forged {
		require.NotEqual(t, "forged", h.Get(name), name)
	}
	require.Equal(t, customer, h.Get("Tenant"))
	require.Equal(t, "i-1", h.Get("Target-Instance"))
	require.Equal(t, "kept", h.Get("X-Other"))
	require.Empty(t, h.Get("Key"))
	left, err := strconv.Atoi(h.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 5000)
	require.Equal(t, "100,10", h.Get("Token-Count"))
}

func TestEntryRefusals(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-2", counterService)
	e := d.startEntry("entry-1")
	edit := func(c caller.Call, f func(*caller.Call)) caller.Call { f(&c); return c }
	cases := []struct {
		name   string
		call   caller.Call
		status int
		retry  bool
	}{
		{"no route", edit(plainCall("order", "r"), func(c *caller.Call) { c.Target = "/nowhere/1" }), 404, false},
		{"unknown key", edit(plainCall("order", "r"), func(c *caller.Call) { c.Key = "other" }), 401, false},
		{"no key", edit(plainCall("order", "r"), func(c *caller.Call) { c.Key = "" }), 401, false},
		{"body too large", edit(plainCall("order", "r"), func(c *caller.Call) { c.Body = string(make([]byte, 2000)) }), 413, false},
		{"header too large", edit(plainCall("order", "r"), func(c *caller.Call) { c.Header = map[string]string{"X-Long": strings.Repeat("x", 17<<10)} }), 431, false},
		{"no upstream", streamCall("stream", "r"), 503, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := e.send(t, c.call)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.retry, a.header.Get("Retry-After") != "")
			require.Empty(t, a.header.Get("Response-Seal"))
			require.Equal(t, "r", a.header.Get("Request-Id"))
		})
	}
}

// faultCase is the expected result of a request while one upstream has a fault and a
// second one is healthy. runs counts the runs of the request on both.
type faultCase struct {
	fault  upstream.Fault
	route  string
	status int
	runs   int
}

// The faulty upstream is in the entry's availability zone, so it gets the request first.
// Only requests that may be repeated are then sent to the healthy one.
func TestUpstreamsThatMisbehave(t *testing.T) {
	cases := map[string]faultCase{
		"declined order is sent elsewhere":     {upstream.Decline, "order", 200, 1},
		"failed order is not repeated":         {upstream.Fail, "order", 500, 1},
		"failed status is repeated":            {upstream.Fail, "status", 200, 2},
		"unanswered order is not repeated":     {upstream.CloseUnanswered, "order", 502, 1},
		"unanswered status is repeated":        {upstream.CloseUnanswered, "status", 200, 2},
		"cut order is not repeated":            {upstream.CutAnswer, "order", 502, 1},
		"cut status is repeated":               {upstream.CutAnswer, "status", 200, 2},
		"unsealed order is not relayed":        {upstream.Unproven, "order", 502, 1},
		"unsealed status is repeated":          {upstream.Unproven, "status", 200, 2},
		"silent status is asked for elsewhere": {upstream.Silent, "status", 200, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			bad, good := d.upstream("i-bad", counterService), d.upstreamIn("zone-b", "i-good", counterService)
			e := d.startEntry("entry-1")
			bad.SetFault(c.fault)
			a := e.send(t, plainCall(c.route, "r-1"))
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.runs, len(bad.Runs())+len(good.Runs()))
		})
	}
}

// An upstream sends an endless head, event or body, or comments without events. The entry
// closes the connection once a limit on size or on the pause between events is exceeded,
// long before the deadline, and retries at another upstream what may be repeated.
func TestAnswersWithoutEnd(t *testing.T) {
	cases := map[string]struct {
		fault  upstream.Fault
		route  string
		status int
	}{
		"head":                       {upstream.EndlessHead, "status", 200},
		"head of an order":           {upstream.EndlessHead, "order", 502},
		"interim answers":            {upstream.EndlessInterim, "status", 200},
		"event":                      {upstream.EndlessEvent, "stream", 200},
		"event that may not go on":   {upstream.EndlessEvent, "once", 502},
		"stream of comments":         {upstream.Trickle, "stream", 200},
		"body over the buffer limit": {upstream.EndlessBody, "status", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.timeout = time.Minute
			d.configure()
			service := counterService
			call := plainCall(c.route, "r-1")
			if c.route == "stream" || c.route == "once" {
				service, call = engineService, streamCall(c.route, "r-1")
			}
			call.Deadline = time.Minute
			bad, good := d.upstream("i-bad", service), d.upstreamIn("zone-b", "i-good", service)
			e := d.startEntry("entry-1")
			bad.SetFault(c.fault)
			began := time.Now()
			a := e.send(t, call)
			require.Less(t, time.Since(began), waitLimit)
			if c.status == 0 {
				require.Error(t, a.err)
			} else {
				require.NoError(t, a.err)
				require.Equal(t, c.status, a.status)
			}
			if c.route == "stream" {
				require.Equal(t, completeStream(), strings.ReplaceAll(a.body, ": still here\n\n", ""))
			}
			eventually(t, func() bool { return bad.Left() == 1 })
			require.Equal(t, c.status == 200, len(good.Runs()) == 1)
		})
	}
}

// If every upstream declines a request, it is refused as not run, with a Retry-After.
func TestDeclinedEverywhereIsRefusedUnrun(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	one, two := d.upstream("i-1", counterService), d.upstream("i-2", counterService)
	e := d.startEntry("entry-1")
	one.SetFault(upstream.Decline)
	two.SetFault(upstream.Decline)
	a := e.send(t, plainCall("order", "r-1"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Empty(t, one.Runs())
	require.Empty(t, two.Runs())
}

// An upstream sends a second answer on a connection. It must not be taken for the answer
// to the next request.
func TestExtraAnswersBelongToNobody(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	counterServer := d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	counterServer.SetFault(upstream.Extra)
	for i := range 20 {
		c := plainCall("status", fmt.Sprintf("r-%d", i))
		c.Target = fmt.Sprintf("/status/%d", i)
		a := e.send(t, c)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, "answer to "+c.Target, a.body)
		require.Equal(t, c.ID, a.header.Get("Request-Id"))
	}
}

// A stream that breaks inside an event is resumed at another upstream. The caller gets
// each event once, and the headers of the first upstream.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad, good := d.upstream("i-bad", engineService), d.upstreamIn("zone-b", "i-good", engineService)
	e := d.startEntry("entry-1")
	bad.SetFault(upstream.CutInEvent)
	a := e.send(t, streamCall("stream", "r-1"))
	require.NoError(t, a.err)
	require.Equal(t, completeStream(), a.body)
	require.Equal(t, "seal-i-bad", a.header.Get("Response-Seal"))
	require.Equal(t, 1, good.Runs()[0].Resumed)
}

// An upstream that goes on with a stream leaves out the event after the last one that the
// caller has. The caller must not get a stream with an event missing that looks complete.
func TestResumedStreamLacksAnEvent(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad, faulty := d.upstream("i-bad", engineService), d.upstreamIn("zone-b", "i-faulty", engineService)
	e := d.startEntry("entry-1")
	bad.SetFault(upstream.CutInEvent)
	faulty.SetFault(upstream.SkipEvent)
	a := e.send(t, streamCall("stream", "r-1"))
	require.Error(t, a.err)
	require.Equal(t, upstream.Event(0)+upstream.Event(1), a.body)
	require.Len(t, faulty.Runs(), 1)
}

// An upstream that has run a request answers it with a status that promises the contrary, and
// without the statement that it was not run. Callers must not be promised that.
func TestStatusOfAnUpstreamPromisesThatTheRequestHasNotRun(t *testing.T) {
	for name, fault := range map[string]upstream.Fault{"503": upstream.FailAsBusy, "429": upstream.FailAsLimited} {
		for _, route := range []string{"order", "status"} {
			t.Run(name+" "+route, func(t *testing.T) {
				d := newDeployment(t)
				d.configure()
				server := d.upstream("i-1", counterService)
				e := d.startEntry("entry-1")
				server.SetFault(fault)
				a := e.send(t, plainCall(route, "r-1"))
				require.NoError(t, a.err)
				require.Len(t, server.Runs(), 1)
				require.Equal(t, http.StatusBadGateway, a.status)
				require.Empty(t, a.header.Get("Response-Seal"), "the seal is for another status")
			})
		}
	}
}

// If a stream that may not be resumed breaks, the caller can see that it is incomplete.
func TestStreamThatMayNotBeResumedBreaksOff(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad, good := d.upstream("i-bad", engineService), d.upstreamIn("zone-b", "i-good", engineService)
	e := d.startEntry("entry-1")
	bad.SetFault(upstream.CutInEvent)
	a := e.send(t, streamCall("once", "r-1"))
	require.Error(t, a.err)
	require.Equal(t, upstream.Event(0)+upstream.Event(1), a.body)
	require.Empty(t, good.Runs())
}

// If a caller disconnects, the entry closes the connection to the upstream.
func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine := d.upstream("i-1", engineService)
	e := d.startEntry("entry-1")
	engine.SetFault(upstream.Hold)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := streamCall("stream", "r-1").Request(ctx, e.settings.Front)
	require.NoError(t, err)
	resp, err := e.client.Do(req)
	require.NoError(t, err)
	cancel()
	require.NoError(t, resp.Body.Close())
	eventually(t, func() bool { return engine.Left() == 1 })
}

// Requests that are refused because the allowance is used up are neither charged to it
// nor refunded.
func TestRefusedWorkIsNotGivenBack(t *testing.T) {
	d := newDeployment(t)
	// Each request is charged 110 tokens, 100 of the prompt and 10 of the answer, so that
	// the allowance is soon used up and most requests are refused.
	d.rate, d.burst = 100, 300
	d.configure()
	engine := d.upstream("i-1", engineService)
	e := d.startEntry("entry-1")
	begun := time.Now()
	refused := 0
	for i := range 300 {
		a := e.send(t, streamCall("stream", fmt.Sprintf("r-%d", i)))
		require.NoError(t, a.err)
		if a.status == http.StatusTooManyRequests {
			refused++
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
	}
	allowed := float64(d.burst) + float64(d.rate)*time.Since(begun).Seconds() + 110
	require.LessOrEqual(t, float64(len(engine.Runs())*110), allowed)
	require.Positive(t, refused)
}
