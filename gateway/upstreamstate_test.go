package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// arrivalsBetween counts the requests that reached an upstream between two offsets from
// a point in time.
func arrivalsBetween(s *upstream.Server, moment time.Time, from, to time.Duration) int {
	n := 0
	for _, a := range s.Arrivals() {
		if after := a.At.Sub(moment); after >= from && after < to {
			n++
		}
	}
	return n
}

// sendFor sends requests one after the other for some time and returns how many it sent
// and how many were answered with 200.
func (e *entry) sendFor(t *testing.T, span time.Duration) (sent, answered int) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < span; sent++ {
		a := e.send(t, plainCall("status", fmt.Sprintf("%s-%d-%d", e.settings.Name, begun.UnixNano(), sent)))
		require.NoError(t, a.err)
		if a.status == http.StatusOK {
			answered++
		}
	}
	return sent, answered
}

// An upstream announces in its answers that it is leaving, while the store still lists it
// as ready or is unreachable. It must get no requests after the drain time.
func TestUpstreamThatAnswersThatItLeavesGetsRequestsAfterTheDrainTime(t *testing.T) {
	for _, out := range []bool{false, true} {
		t.Run(fmt.Sprintf("store_out_%v", out), func(t *testing.T) {
			d := newDeployment(t)
			d.drain = 500 * time.Millisecond
			d.configure()
			leaving, good := d.upstream("i-leaving", counterService), d.upstreamIn("zone-b", "i-good", counterService)
			leaving.SetFault(upstream.Leave)
			proxy := newOutageProxy(t, d.store)
			d.storeHTTP = proxy.server
			e := d.startEntry("entry-1")
			proxy.down.Store(out)
			require.Equal(t, http.StatusOK, e.send(t, plainCall("status", "first")).status)
			announced := time.Now()
			require.Len(t, leaving.Arrivals(), 1, "it is in the entry's own zone")
			sent, answered := e.sendFor(t, 3*d.drain)
			require.Equal(t, sent, answered)
			require.Zero(t, arrivalsBetween(leaving, announced, d.drain, waitLimit))
			require.NotEmpty(t, good.Runs())
		})
	}
}

// backoffTime is how long upstreams in these tests ask to get no requests.
const backoffTime = 1500 * time.Millisecond

// The platform allows an upstream that has asked for a pause to get maxBackoffArrivals
// requests from backoffStart after its answer until the end of the pause.
const (
	maxBackoffArrivals = 2
	backoffStart       = 500 * time.Millisecond
)

// An upstream asks for a pause. It gets next to no requests during the pause, all
// requests are answered by another upstream, and it gets requests again afterwards.
func TestUpstreamThatAsksForRestGetsRequests(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	resting, good := d.upstream("i-resting", counterService), d.upstreamIn("zone-b", "i-good", counterService)
	resting.RestTime = backoffTime
	resting.SetFault(upstream.Rest)
	e := d.startEntry("entry-1")
	require.Equal(t, http.StatusOK, e.send(t, plainCall("status", "first")).status)
	require.Len(t, resting.Arrivals(), 1, "it is in the entry's own zone")
	asked := resting.Arrivals()[0].At
	resting.SetFault(upstream.Sound)
	sent, answered := e.sendFor(t, backoffTime-time.Since(asked))
	require.Equal(t, sent, answered)
	require.LessOrEqual(t, arrivalsBetween(resting, asked, backoffStart, backoffTime), maxBackoffArrivals)
	require.NotEmpty(t, good.Runs())
	eventually(t, func() bool {
		e.sendFor(t, 10*time.Millisecond)
		return len(resting.Runs()) > 0
	})
}

// If all upstreams have asked for a pause, requests are refused at once, with a
// Retry-After that ends with the shortest pause.
func TestCallersWaitWhileAllUpstreamsRest(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	short, long := d.upstream("i-short", counterService), d.upstream("i-long", counterService)
	short.RestTime, long.RestTime = backoffTime, 2*backoffTime
	short.SetFault(upstream.Rest)
	long.SetFault(upstream.Rest)
	e := d.startEntry("entry-1")
	e.send(t, plainCall("status", "first"))
	require.Len(t, short.Arrivals(), 1)
	require.Len(t, long.Arrivals(), 1)
	begun := time.Now()
	a := e.send(t, plainCall("status", "second"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Less(t, time.Since(begun), backoffStart, "must be refused at once")
	retryAfter, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	left := backoffTime - time.Since(short.Arrivals()[0].At)
	require.GreaterOrEqual(t, retryAfter, left.Seconds())
	require.LessOrEqual(t, retryAfter, backoffTime.Seconds())
	require.Len(t, short.Arrivals(), 1)
	require.Len(t, long.Arrivals(), 1)
}
