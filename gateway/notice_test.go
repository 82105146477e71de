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

// between counts arrivals in a span after a moment.
func between(s *upstream.Server, moment time.Time, from, to time.Duration) int {
	n := 0
	for _, a := range s.Arrivals() {
		if after := a.At.Sub(moment); after >= from && after < to {
			n++
		}
	}
	return n
}

// sendFor sends requests one after the other for some time and returns how many were
// answered with success.
func (e *entry) sendFor(t *testing.T, span time.Duration) (sent, answered int) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < span; sent++ {
		a := e.send(t, plain("status", fmt.Sprintf("%s-%d-%d", e.settings.Name, begun.UnixNano(), sent)))
		require.NoError(t, a.err)
		if a.status == http.StatusOK {
			answered++
		}
	}
	return sent, answered
}

// An upstream that says with its answers that it leaves may not have told the store,
// or the store may be out.
func TestUpstreamThatAnswersThatItLeavesGetsRequestsAfterTheDrainTime(t *testing.T) {
	for _, out := range []bool{false, true} {
		t.Run(fmt.Sprintf("store_out_%v", out), func(t *testing.T) {
			d := newDeployment(t)
			d.drain = 500 * time.Millisecond
			d.configure()
			leaving, good := d.upstream("i-leaving", counter), d.upstreamIn("zone-b", "i-good", counter)
			leaving.SetFault(upstream.Leave)
			gate := newGate(t, d.store)
			d.storeHTTP = gate.server
			e := d.startEntry("entry-1")
			gate.shut.Store(out)
			require.Equal(t, http.StatusOK, e.send(t, plain("status", "first")).status)
			told := time.Now()
			require.Len(t, leaving.Arrivals(), 1, "it is in the entry's own zone")
			sent, answered := e.sendFor(t, 3*d.drain)
			require.Equal(t, sent, answered)
			require.Zero(t, between(leaving, told, d.drain, within))
			require.NotEmpty(t, good.Runs())
		})
	}
}

const restTime = 1500 * time.Millisecond

// mostInRest and restStart are what the platform allows: two requests from half a
// second after the answer on.
const (
	mostInRest = 2
	restStart  = 500 * time.Millisecond
)

func TestUpstreamThatAsksForRestGetsRequests(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	resting, good := d.upstream("i-resting", counter), d.upstreamIn("zone-b", "i-good", counter)
	resting.RestTime = restTime
	resting.SetFault(upstream.Rest)
	e := d.startEntry("entry-1")
	require.Equal(t, http.StatusOK, e.send(t, plain("status", "first")).status)
	require.Len(t, resting.Arrivals(), 1, "it is in the entry's own zone")
	asked := resting.Arrivals()[0].At
	resting.SetFault(upstream.Sound)
	sent, answered := e.sendFor(t, restTime-time.Since(asked))
	require.Equal(t, sent, answered)
	require.LessOrEqual(t, between(resting, asked, restStart, restTime), mostInRest)
	require.NotEmpty(t, good.Runs())
	eventually(t, func() bool {
		e.sendFor(t, 10*time.Millisecond)
		return len(resting.Runs()) > 0
	})
}

// When nobody is left who wants requests, callers hear at once when to come back.
func TestCallersWaitWhileAllUpstreamsRest(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	short, long := d.upstream("i-short", counter), d.upstream("i-long", counter)
	short.RestTime, long.RestTime = restTime, 2*restTime
	short.SetFault(upstream.Rest)
	long.SetFault(upstream.Rest)
	e := d.startEntry("entry-1")
	e.send(t, plain("status", "first"))
	require.Len(t, short.Arrivals(), 1)
	require.Len(t, long.Arrivals(), 1)
	begun := time.Now()
	a := e.send(t, plain("status", "second"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Less(t, time.Since(begun), restStart, "it is refused at once")
	again, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	left := restTime - time.Since(short.Arrivals()[0].At)
	require.GreaterOrEqual(t, again, left.Seconds())
	require.LessOrEqual(t, again, restTime.Seconds())
	require.Len(t, short.Arrivals(), 1)
	require.Len(t, long.Arrivals(), 1)
}
