package soak

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// begin is a time at which nothing had been disturbed for long.
var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

// testFleet has an entry that was paused from pausedAt on for a second.
func testFleet(pausedAt time.Duration) *fleet {
	e := &entry{name: "e", store: &proxy{}}
	e.disturbed.spans = []span{{at(pausedAt), at(pausedAt + time.Second)}}
	return &fleet{entries: []*entry{e}, senders: map[string]*entry{}}
}

// violations returns what a check reports.
func violations(check func(report func(string, ...any))) (out []string) {
	check(func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) })
	return out
}

func TestDisturbancesAreSeen(t *testing.T) {
	var l timeline
	l.spans = []span{{at(10), at(20)}, {from: at(50)}}
	require.True(t, l.calm(at(0), at(9)))
	require.False(t, l.calm(at(0), at(10)))
	require.False(t, l.calm(at(20), at(30)))
	require.True(t, l.calm(at(21), at(49)))
	require.False(t, l.calm(at(60), at(70)), "the last one has not ended")
	end := l.begin()
	end()
	require.False(t, l.spans[2].to.IsZero())
}

// Requests that reach upstreams long after their callers have left are seen.
func TestRequestsOfCallersThatHaveLeftAreSeen(t *testing.T) {
	for name, c := range map[string]struct {
		left     int
		after    time.Duration
		pausedAt time.Duration
		v        observation
		seen     bool
	}{
		"late":               {maxGone + 1, goneSlack + 1, time.Hour, observation{gaveUp: true}, true},
		"few":                {maxGone, goneSlack + 1, time.Hour, observation{gaveUp: true}, false},
		"soon":               {maxGone + 1, goneSlack, time.Hour, observation{gaveUp: true}, false},
		"answered":           {maxGone + 1, goneSlack + 1, time.Hour, observation{gaveUp: true, complete: true}, false},
		"caller waits":       {maxGone + 1, goneSlack + 1, time.Hour, observation{}, false},
		"entry was paused":   {maxGone + 1, goneSlack + 1, -contactTime, observation{gaveUp: true}, false},
		"paused long before": {maxGone + 1, goneSlack + 1, -contactTime - 2*time.Second, observation{gaveUp: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals []upstream.Arrival
			var observations []observation
			for i := range c.left {
				v := c.v
				v.id, v.entry, v.ended = fmt.Sprint(i), "e", begin
				observations = append(observations, v)
				arrivals = append(arrivals, upstream.Arrival{RequestID: v.id, At: at(c.after)})
			}
			got := violations(func(r func(string, ...any)) { checkGone(testFleet(c.pausedAt), arrivals, observations, r) })
			require.Equal(t, c.seen, len(got) > 0, got)
		})
	}
}

// arrived returns an upstream behind a proxy that has got a request with the ID "r", and when.
func arrived(t *testing.T) (*backend, time.Time) {
	t.Helper()
	s, err := upstream.Start("i-1", "127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	req, err := caller.Call{Method: http.MethodGet, Target: "/status/r", ID: "r"}.Request(t.Context(), s.Address())
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return &backend{Server: s, proxy: &proxy{}}, s.Arrivals()[0].At
}

// What a proxy may have kept back does not count as late.
func TestArrivalsThatMayHaveBeenHeldBackAreLeftOut(t *testing.T) {
	b, at := arrived(t)
	f := &fleet{upstreams: []*backend{b}}
	require.Len(t, f.promptArrivals(), 1)
	b.proxy.harmed.spans = []span{{at.Add(-time.Hour), at.Add(-contactTime - 1)}}
	require.Len(t, f.promptArrivals(), 1, "long before")
	b.proxy.harmed.spans = []span{{at.Add(-time.Hour), at.Add(-contactTime)}}
	require.Empty(t, f.promptArrivals())
}

// Requests from kept connections that are closed without an answer are counted, unless their
// entry or upstream was disturbed.
func TestRequestsLostOnKeptConnectionsAreSeen(t *testing.T) {
	b, at := arrived(t)
	v := observation{id: "r", entry: "e", kept: true, started: at.Add(-time.Second), sent: at, ended: at.Add(time.Second)}
	during := []span{{at, at.Add(time.Millisecond)}}
	for name, c := range map[string]struct {
		upstream, entry []span
		id              string
		requests, lost  int
	}{
		"too many":            {nil, nil, "r", maxLostKept + 1, maxLostKept + 1},
		"few":                 {nil, nil, "r", maxLostKept, maxLostKept},
		"not passed on":       {nil, nil, "other", maxLostKept + 1, 0},
		"upstream was faulty": {during, nil, "r", maxLostKept + 1, 0},
		"entry was paused":    {nil, during, "r", maxLostKept + 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := &entry{name: "e"}
			b.proxy.disturbed.spans, e.disturbed.spans = c.upstream, c.entry
			f := &fleet{upstreams: []*backend{b}, entries: []*entry{e}}
			v.id = c.id
			lost := 0
			got := violations(func(r func(string, ...any)) { lost = checkKept(f, slices.Repeat([]observation{v}, c.requests), r) })
			require.Equal(t, c.lost, lost)
			require.Equal(t, c.lost > maxLostKept, len(got) > 0, got)
		})
	}
}

// Runs at another service, and of other bytes than those that were sent, are seen.
func TestRunsThatNobodyAskedForAreSeen(t *testing.T) {
	f := testFleet(time.Hour)
	f.upstreams = []*backend{{Server: &upstream.Server{ID: "i-1"}, service: engines}, {Server: &upstream.Server{ID: "i-2"}, service: counter}}
	v := observation{id: "r", target: "/stream/r", body: "prompt"}
	for name, c := range map[string]struct {
		run  upstream.Run
		rule string
	}{
		"sound":         {upstream.Run{Name: "i-1/0", Target: "/stream/r", Body: "prompt"}, ""},
		"other service": {upstream.Run{Name: "i-2/0", Target: "/stream/r", Body: "prompt"}, "ROUTE"},
		"other body":    {upstream.Run{Name: "i-1/0", Target: "/stream/r", Body: "promp"}, "UNASKED"},
		"other path":    {upstream.Run{Name: "i-1/0", Target: "/once/r", Body: "prompt"}, "UNASKED"},
	} {
		t.Run(name, func(t *testing.T) {
			c.run.RequestID = "r"
			got := violations(func(r func(string, ...any)) { checkRuns(f, seen{runs: []upstream.Run{c.run}}, []observation{v}, r) })
			if c.rule == "" {
				require.Empty(t, got)
				return
			}
			require.Len(t, got, 1)
			require.Contains(t, got[0], c.rule)
		})
	}
}

// Requests that run with a key that was withdrawn long before are seen.
func TestUseOfWithdrawnKeysIsSeen(t *testing.T) {
	for name, c := range map[string]struct {
		after    time.Duration
		pausedAt time.Duration
		storeAt  time.Duration
		runs     int
		seen     bool
	}{
		"ran":                    {applyBound, time.Hour, time.Hour, 1, true},
		"refused":                {applyBound, time.Hour, time.Hour, 0, false},
		"not in force yet":       {applyBound - 1, time.Hour, time.Hour, 1, false},
		"entry was paused":       {applyBound, applyBound / 2, time.Hour, 1, false},
		"store was away":         {applyBound, time.Hour, applyBound / 2, 1, false},
		"store was away before":  {applyBound, time.Hour, -contactTime, 1, false},
		"store was away earlier": {applyBound, time.Hour, -contactTime - 2*time.Second, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(c.pausedAt)
			f.storeDisturbed.spans = []span{{at(c.storeAt), at(c.storeAt + time.Second)}}
			f.lateUses = []lateUse{{observation{id: "r", entry: "e", started: at(c.after), ended: at(c.after + 1)}, begin}}
			got := violations(func(r func(string, ...any)) { checkWithdrawn(f, map[string]int{"r": c.runs}, r) })
			require.Equal(t, c.seen, len(got) > 0, got)
		})
	}
}

// Kept connections that are closed without an answer are seen.
func TestClosedKeptConnectionsAreSeen(t *testing.T) {
	sent := observation{kept: true, sent: begin, started: begin, ended: at(time.Second)}
	require.True(t, sent.lostKept())
	for name, change := range map[string]func(v *observation){
		"first on its connection": func(v *observation) { v.kept = false },
		"answered":                func(v *observation) { v.status = 502 },
		"never sent":              func(v *observation) { v.sent = time.Time{} },
		"caller left":             func(v *observation) { v.gaveUp = true },
		"time was over":           func(v *observation) { v.ended = at(callTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			v := sent
			change(&v)
			require.False(t, v.lostKept())
		})
	}
}

// All statuses that promise that a request has not run are judged.
func TestRefusalsAreSeen(t *testing.T) {
	for status, promises := range map[int]bool{408: true, 421: true, 429: true, 503: true, 0: false, 200: false, 500: false, 502: false, 504: false} {
		require.Equal(t, promises, observation{status: status}.reportsNotRun(), status)
	}
}
