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

func TestAnswersGoThroughUnchanged(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine, desk := d.upstream("i-1", engines), d.upstream("i-2", counter)
	e := d.startEntry("entry-1")

	a := e.send(t, stream("stream", "r-1"))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, wholeStream(), a.body)
	require.Equal(t, "seal-i-1", a.header.Get("Response-Seal"))
	require.Equal(t, "r-1", a.header.Get("Request-Id"))

	a = e.send(t, plain("order", "r-2"))
	require.NoError(t, a.err)
	require.Equal(t, "answer to /order/1?x=1", a.body)
	require.Equal(t, "seal-i-2", a.header.Get("Response-Seal"))

	require.Len(t, engine.Runs(), 1)
	require.Len(t, desk.Runs(), 1)
	require.Equal(t, "body", desk.Runs()[0].Body)
}

// What only jaylink may tell an upstream never comes from the caller.
func TestCallersCannotSetWhatIsOurs(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine := d.upstream("i-1", engines)
	e := d.startEntry("entry-1")
	c := stream("stream", "r-1")
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

func TestRefusalsOfOurOwn(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-2", counter)
	e := d.startEntry("entry-1")
	edit := func(c caller.Call, f func(*caller.Call)) caller.Call { f(&c); return c }
	cases := []struct {
		name   string
		call   caller.Call
		status int
		again  bool
	}{
		{"no route", edit(plain("order", "r"), func(c *caller.Call) { c.Target = "/nowhere/1" }), 404, false},
		{"unknown key", edit(plain("order", "r"), func(c *caller.Call) { c.Key = "other" }), 401, false},
		{"no key", edit(plain("order", "r"), func(c *caller.Call) { c.Key = "" }), 401, false},
		{"body too large", edit(plain("order", "r"), func(c *caller.Call) { c.Body = string(make([]byte, 2000)) }), 413, false},
		{"header too large", edit(plain("order", "r"), func(c *caller.Call) { c.Header = map[string]string{"X-Long": strings.Repeat("x", 17<<10)} }), 431, false},
		{"no upstream", stream("stream", "r"), 503, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := e.send(t, c.call)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.again, a.header.Get("Retry-After") != "")
			require.Empty(t, a.header.Get("Response-Seal"))
			require.Equal(t, "r", a.header.Get("Request-Id"))
		})
	}
}

// faultCase is what a caller sees of an upstream that misbehaves while another
// is sound, and how often the request ran on both.
type faultCase struct {
	fault  upstream.Fault
	route  string
	status int
	runs   int
}

// The broken upstream is in the entry's zone, so it gets the request first; the
// sound one takes what may be repeated.
func TestUpstreamsThatMisbehave(t *testing.T) {
	cases := map[string]faultCase{
		"declined order is sent elsewhere":     {upstream.Decline, "order", 200, 1},
		"failed order is not repeated":         {upstream.Fail, "order", 500, 1},
		"failed status is repeated":            {upstream.Fail, "status", 200, 2},
		"unanswered order is not repeated":     {upstream.CloseUnanswered, "order", 502, 1},
		"unanswered status is repeated":        {upstream.CloseUnanswered, "status", 200, 2},
		"cut order is not repeated":            {upstream.CutAnswer, "order", 502, 1},
		"cut status is repeated":               {upstream.CutAnswer, "status", 200, 2},
		"answer without proof is not relayed":  {upstream.Unproven, "order", 502, 1},
		"status without proof is repeated":     {upstream.Unproven, "status", 200, 2},
		"silent status is asked for elsewhere": {upstream.Silent, "status", 200, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			bad, good := d.upstream("i-bad", counter), d.upstreamIn("zone-b", "i-good", counter)
			e := d.startEntry("entry-1")
			bad.SetFault(c.fault)
			a := e.send(t, plain(c.route, "r-1"))
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.runs, len(bad.Runs())+len(good.Runs()))
		})
	}
}

// An upstream that sends bytes without end is left as soon as they can be no answer,
// and what may be repeated goes on elsewhere. The deadline is far off.
func TestAnswersWithoutEnd(t *testing.T) {
	cases := map[string]struct {
		fault  upstream.Fault
		route  string
		status int
	}{
		"head":                        {upstream.EndlessHead, "status", 200},
		"head of an order":            {upstream.EndlessHead, "order", 502},
		"interim answers":             {upstream.EndlessInterim, "status", 200},
		"event":                       {upstream.EndlessEvent, "stream", 200},
		"event that may not go on":    {upstream.EndlessEvent, "once", 502},
		"stream of comments":          {upstream.Trickle, "stream", 200},
		"body that was begun to pass": {upstream.EndlessBody, "status", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.timeout = time.Minute
			d.configure()
			service := counter
			call := plain(c.route, "r-1")
			if c.route == "stream" || c.route == "once" {
				service, call = engines, stream(c.route, "r-1")
			}
			call.Deadline = time.Minute
			bad, good := d.upstream("i-bad", service), d.upstreamIn("zone-b", "i-good", service)
			e := d.startEntry("entry-1")
			bad.SetFault(c.fault)
			began := time.Now()
			a := e.send(t, call)
			require.Less(t, time.Since(began), within)
			if c.status == 0 {
				require.Error(t, a.err)
			} else {
				require.NoError(t, a.err)
				require.Equal(t, c.status, a.status)
			}
			if c.route == "stream" {
				require.Equal(t, wholeStream(), strings.ReplaceAll(a.body, ": still here\n\n", ""))
			}
			eventually(t, func() bool { return bad.Left() == 1 })
			require.Equal(t, c.status == 200, len(good.Runs()) == 1)
		})
	}
}

// With every upstream declining, the refusal says truly that nothing has run.
func TestDeclinedEverywhereIsRefusedUnrun(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	one, two := d.upstream("i-1", counter), d.upstream("i-2", counter)
	e := d.startEntry("entry-1")
	one.SetFault(upstream.Decline)
	two.SetFault(upstream.Decline)
	a := e.send(t, plain("order", "r-1"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Empty(t, one.Runs())
	require.Empty(t, two.Runs())
}

// A second answer on a connection is never given to the next request.
func TestExtraAnswersBelongToNobody(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	desk := d.upstream("i-1", counter)
	e := d.startEntry("entry-1")
	desk.SetFault(upstream.Extra)
	for i := range 20 {
		c := plain("status", fmt.Sprintf("r-%d", i))
		c.Target = fmt.Sprintf("/status/%d", i)
		a := e.send(t, c)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, "answer to "+c.Target, a.body)
		require.Equal(t, c.ID, a.header.Get("Request-Id"))
	}
}

// A stream that breaks inside an event goes on at another upstream, each event
// once, under the first upstream's head.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad, good := d.upstream("i-bad", engines), d.upstreamIn("zone-b", "i-good", engines)
	e := d.startEntry("entry-1")
	bad.SetFault(upstream.CutInEvent)
	a := e.send(t, stream("stream", "r-1"))
	require.NoError(t, a.err)
	require.Equal(t, wholeStream(), a.body)
	require.Equal(t, "seal-i-bad", a.header.Get("Response-Seal"))
	require.Equal(t, 1, good.Runs()[0].Resumed)
}

// A stream that may not be resumed breaks off and does not look whole.
func TestStreamThatMayNotBeResumedBreaksOff(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad, good := d.upstream("i-bad", engines), d.upstreamIn("zone-b", "i-good", engines)
	e := d.startEntry("entry-1")
	bad.SetFault(upstream.CutInEvent)
	a := e.send(t, stream("once", "r-1"))
	require.Error(t, a.err)
	require.Equal(t, upstream.Event(0)+upstream.Event(1), a.body)
	require.Empty(t, good.Runs())
}

// A caller that leaves ends the work for it.
func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine := d.upstream("i-1", engines)
	e := d.startEntry("entry-1")
	engine.SetFault(upstream.Hold)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := stream("stream", "r-1").Request(ctx, e.settings.Front)
	require.NoError(t, err)
	resp, err := e.client.Do(req)
	require.NoError(t, err)
	cancel()
	require.NoError(t, resp.Body.Close())
	eventually(t, func() bool { return engine.Left() == 1 })
}

// What a caller is refused for its allowance takes nothing off it and gives
// nothing back, however often it asks.
func TestRefusedWorkIsNotGivenBack(t *testing.T) {
	d := newDeployment(t)
	// A request counts 110, so the bucket never holds enough for many.
	d.rate, d.burst = 100, 300
	d.configure()
	engine := d.upstream("i-1", engines)
	e := d.startEntry("entry-1")
	begun := time.Now()
	refused := 0
	for i := range 300 {
		a := e.send(t, stream("stream", fmt.Sprintf("r-%d", i)))
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
