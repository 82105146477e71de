package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

const (
	// crashedTime is how long an upstream is down after a deadly part has crashed it.
	crashedTime = 2 * time.Second
	// crashesBeforeBound is the number of crashes after which the platform counts requests
	// with the part: at most maxLateRequests may reach upstreams later than contactTime
	// after the last of these.
	crashesBeforeBound = 5
	maxLateRequests    = 3
	// soundInterval is the time between two sound requests.
	soundInterval = 40 * time.Millisecond
	// soundBeforeTime is how long only sound requests are sent.
	soundBeforeTime = 3 * time.Second
)

// promptCall returns a generation request with a body, ID and last part of its own and
// with the shared parts of the prompt.
func promptCall(route, id string, parts ...string) caller.Call {
	call := streamCall(route, id)
	call.Body, call.Prefix = id, ""
	for _, part := range parts {
		call.Prefix += part + ":50,"
	}
	call.Prefix += fmt.Sprintf("%x:20", id)
	return call
}

// partTraffic sends requests whose shared parts follow a pattern, in turn to all entries.
type partTraffic struct {
	route    string
	interval time.Duration
	// parts returns the shared parts of the n-th request.
	parts func(n int) []string
}

// sentRequest is a request that partTraffic has sent.
type sentRequest struct {
	at     time.Time
	status int
	whole  bool
}

// run sends requests until the time end, without waiting for answers, and returns all of
// them with their answers.
func (p partTraffic) run(t *testing.T, name string, entries []*entry, end time.Time) []sentRequest {
	var mu sync.Mutex
	var list []sentRequest
	var calls sync.WaitGroup
	pace := time.NewTicker(p.interval)
	defer pace.Stop()
	for n := 0; time.Now().Before(end); n++ {
		calls.Go(func() {
			at := time.Now()
			a := entries[n%len(entries)].send(t, promptCall(p.route, fmt.Sprintf("%s-%d", name, n), p.parts(n)...))
			mu.Lock()
			defer mu.Unlock()
			list = append(list, sentRequest{at, a.status, a.err == nil})
		})
		<-pace.C
	}
	calls.Wait()
	return list
}

// servedShare returns the share of the requests sent from a time on that were answered in
// full.
func servedShare(list []sentRequest, from time.Time) float64 {
	all, served := 0, 0
	for _, r := range list {
		if r.at.Before(from) {
			continue
		}
		all++
		if r.whole && r.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// arrivalsWith returns the times at which requests with a shared part reached upstreams.
func arrivalsWith(list []*upstream.Server, part string) []time.Time {
	var times []time.Time
	for _, s := range list {
		for _, a := range s.Arrivals() {
			if slices.Contains(upstream.SharedParts(a.Prefix), part) {
				times = append(times, a.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lateArrivals returns how many of the arrivals came later than contactTime after the
// fifth. Each arrival of a request with a deadly part is a crash.
func lateArrivals(times []time.Time) int {
	if len(times) < crashesBeforeBound {
		return 0
	}
	bound := times[crashesBeforeBound-1].Add(contactTime)
	return len(times) - slices.IndexFunc(append(times, bound.Add(time.Hour)), func(at time.Time) bool { return at.After(bound) })
}

// partUpstreams starts engines that the parts crash.
func (d *deployment) partUpstreams(count int, parts ...string) []*upstream.Server {
	list := d.crashableUpstreams(count, engineService)
	for _, s := range list {
		s.Deadly, s.DeadlyParts, s.Down, s.Pace = "", parts, crashedTime, 20*time.Millisecond
	}
	return list
}

// Requests that differ in all but one part of their prompts crash each upstream that
// begins to answer them. Few may reach upstreams once the part is known, and requests
// with the same customer and first part must still be served.
func TestRequestsThatShareADeadlyPartCrashUpstreamsWithoutBound(t *testing.T) {
	const first, deadly = "aa", "dd"
	for _, tc := range []struct {
		route       string
		interval    time.Duration
		undelimited bool
		// shared is the number of parts that all prompts share besides the first one, and
		// depth of them come before the deadly one.
		shared, depth int
	}{
		{"stream", 500 * time.Millisecond, false, 0, 0}, {"once", 500 * time.Millisecond, false, 0, 0}, {"stream", 125 * time.Millisecond, false, 0, 0},
		{"stream", 500 * time.Millisecond, true, 0, 0},
		{"stream", 250 * time.Millisecond, false, 7, 7}, {"stream", 250 * time.Millisecond, false, 60, 60}, {"once", 250 * time.Millisecond, false, 40, 20},
	} {
		name := fmt.Sprintf("%s every %s", tc.route, tc.interval)
		if tc.shared > 0 {
			name += fmt.Sprintf(" behind %d of %d shared parts", tc.depth, tc.shared)
		}
		shared := []string{first}
		for n := range tc.shared {
			shared = append(shared, fmt.Sprintf("c%03x", n))
		}
		if tc.undelimited {
			name += " without a length"
		}
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			upstreams := d.partUpstreams(12, deadly)
			for _, s := range upstreams {
				s.Undelimited = tc.undelimited
			}
			entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
			awaitPeers(t, entries...)
			sound := partTraffic{tc.route, soundInterval, func(n int) []string { return append(slices.Clone(shared), fmt.Sprintf("b%d", n%40)) }}
			before := servedShare(sound.run(t, "before", entries, time.Now().Add(soundBeforeTime)), time.Time{})
			began := time.Now()
			end := began.Add(3 * contactTime)
			var beside, bad []sentRequest
			var traffic sync.WaitGroup
			traffic.Go(func() { beside = sound.run(t, "beside", entries, end) })
			traffic.Go(func() {
				bad = partTraffic{tc.route, tc.interval, func(int) []string { return slices.Insert(slices.Clone(shared), 1+tc.depth, deadly) }}.run(t, "deadly", entries, end)
			})
			traffic.Wait()
			arrivals := arrivalsWith(upstreams, deadly)
			t.Logf("%d arrivals, %d late; sound served before %.3f, beside %.3f", len(arrivals), lateArrivals(arrivals), before, servedShare(beside, began))
			require.LessOrEqual(t, lateArrivals(arrivals), maxLateRequests)
			slices.SortFunc(bad, func(a, b sentRequest) int { return a.at.Compare(b.at) })
			require.Equal(t, http.StatusBadRequest, bad[len(bad)-1].status, "the refusal is final")
			if len(arrivals) > 0 {
				last := arrivals[min(len(arrivals), crashesBeforeBound)-1]
				require.GreaterOrEqual(t, servedShare(beside, last.Add(2*contactTime)), before/2)
			}
			require.False(t, slices.ContainsFunc(beside, func(r sentRequest) bool { return r.status == http.StatusBadRequest }), "a sound request was refused for good")
		})
	}
}
