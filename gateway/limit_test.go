package gateway_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

const (
	// contactTime is the platform's bound contact-ms: from then on after an upstream
	// first named a limit, the limit is checked.
	contactTime = 3 * time.Second
	// limitTestTime is long enough for a whole window of the rule after contactTime.
	limitTestTime = contactTime + 5*time.Second
	// limitCallers is the number of callers at each entry, and limitPace the time between
	// two requests of a caller.
	limitCallers = 3
	limitPace    = 30 * time.Millisecond
)

// entryOfCall returns the entry that a request of sendSteadily was sent to.
func entryOfCall(requestID string) string {
	name, _, _ := strings.Cut(requestID, "/")
	return name
}

// sendSteadily sends requests to all entries for some time. It returns how many were
// answered with 200 and how many with another status.
func sendSteadily(t *testing.T, entries []*entry, span time.Duration, call func(id string) caller.Call) (answered, refused int64) {
	t.Helper()
	var yes, no atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(span)
	for _, e := range entries {
		for n := range limitCallers {
			callers.Go(func() {
				pace := time.NewTicker(limitPace)
				defer pace.Stop()
				for i := 0; time.Now().Before(end); i++ {
					a := e.send(t, call(fmt.Sprintf("%s/%d-%d-%d", e.settings.Name, end.UnixNano(), n, i)))
					if a.err == nil && a.status == http.StatusOK {
						yes.Add(1)
					} else {
						no.Add(1)
					}
					<-pace.C
				}
			})
		}
	}
	callers.Wait()
	return yes.Load(), no.Load()
}

// requireWithinLimits checks the platform's rule on limits.
func requireWithinLimits(t *testing.T, upstreams ...*upstream.Server) {
	t.Helper()
	for _, s := range upstreams {
		for _, excess := range s.CheckLimits(contactTime, entryOfCall, nil) {
			t.Errorf("%s: %v", s.ID, excess)
		}
	}
}

// An upstream names a limit on the requests that it takes from all entries together. The
// entries must keep it in sum, on each kind of route, and serve the callers by others.
func TestUpstreamThatNamesALimitGetsMoreThanThat(t *testing.T) {
	cases := map[string]struct {
		limit   float64
		service string
		call    func(id string) caller.Call
	}{
		"idempotent":         {1, counterService, func(id string) caller.Call { return plainCall("status", id) }},
		"single attempt":     {0.4, counterService, func(id string) caller.Call { return plainCall("order", id) }},
		"stream":             {4, engineService, func(id string) caller.Call { return streamCall("stream", id) }},
		"unresumable stream": {1, engineService, func(id string) caller.Call { return streamCall("once", id) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			limited := d.upstream("i-limited", c.service)
			limited.SetLimit(c.limit)
			for i := range 2 {
				d.upstreamIn([]string{"zone-a", "zone-b"}[i], fmt.Sprintf("i-%d", i), c.service)
			}
			var entries []*entry
			for i := range 5 {
				entries = append(entries, d.startEntry(fmt.Sprintf("entry-%d", i)))
			}
			awaitPeers(t, entries...)
			answered, refused := sendSteadily(t, entries, limitTestTime, c.call)
			t.Logf("%d requests answered, %d refused; the limited upstream got %d", answered, refused, len(limited.Arrivals()))
			require.Zero(t, refused)
			requireWithinLimits(t, limited)
		})
	}
}

// All upstreams of a service name a limit. Each gets no more than that, and what exceeds
// the limits is refused at once with a time to come back.
func TestLimitsOfAllUpstreamsAreKept(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	var upstreams []*upstream.Server
	for i := range 3 {
		s := d.upstreamIn([]string{"zone-a", "zone-b"}[i%2], fmt.Sprintf("i-%d", i), counterService)
		s.SetLimit(8)
		upstreams = append(upstreams, s)
	}
	var entries []*entry
	for i := range 6 {
		entries = append(entries, d.startEntry(fmt.Sprintf("entry-%d", i)))
	}
	awaitPeers(t, entries...)
	answered, refused := sendSteadily(t, entries, limitTestTime, func(id string) caller.Call { return plainCall("status", id) })
	t.Logf("%d requests answered, %d refused", answered, refused)
	requireWithinLimits(t, upstreams...)
	var a answer
	eventually(t, func() bool {
		a = entries[0].send(t, plainCall("status", fmt.Sprintf("last-%d", time.Now().UnixNano())))
		return a.status == http.StatusServiceUnavailable
	})
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// metricsPage returns the metrics page of an entry.
func (e *entry) metricsPage(t *testing.T) string {
	t.Helper()
	resp, err := e.client.Get(fmt.Sprintf("http://%s:%d/metrics", e.settings.IP, e.settings.PortLast-1))
	require.NoError(t, err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(page)
}

// awaitLimitChanges waits until each entry has noticed a number of changes of limits.
func awaitLimitChanges(t *testing.T, count int, entries ...*entry) {
	t.Helper()
	for _, e := range entries {
		eventually(t, func() bool {
			return strings.Contains(e.metricsPage(t), fmt.Sprintf(`jaylink_belief_changed_total{reason="upstream_limit"} %d`, count))
		})
	}
}

// An entry that knows a limit from another entry alone keeps it, and so does one that
// starts later.
func TestLimitIsKeptByEntriesThatTheUpstreamHasNotTold(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	limited := d.upstream("i-limited", counterService)
	limited.SetLimit(0)
	one, two := d.startEntry("entry-1"), d.startEntry("entry-2")
	awaitPeers(t, one, two)
	require.Equal(t, http.StatusOK, one.send(t, plainCall("status", "first")).status)
	awaitLimitChanges(t, 1, one, two)
	three := d.startEntry("entry-3")
	awaitLimitChanges(t, 1, three)
	before := len(limited.Arrivals())
	sent, begun := 0, time.Now()
	for ; time.Since(begun) < time.Second; sent++ {
		for _, e := range []*entry{two, three} {
			e.send(t, plainCall("status", fmt.Sprintf("%s-%d", e.settings.Name, sent)))
		}
	}
	require.LessOrEqual(t, int64(len(limited.Arrivals())-before), limitProbes(begun, time.Now()), "one request in five seconds shows whether the limit holds")
	require.Greater(t, sent, 10)
}

// limitProbes returns how many requests may show, between two times, whether a limit of 0 still
// holds: one in each five seconds of the clock.
func limitProbes(from, to time.Time) int64 {
	const probeSeconds = 5
	return to.Unix()/probeSeconds - from.Unix()/probeSeconds + 1
}

// A limit that an upstream no longer states ends for all entries.
func TestLimitThatHasEndedIsNotKept(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	limited := d.upstream("i-limited", counterService)
	limited.SetLimit(2)
	one, two := d.startEntry("entry-1"), d.startEntry("entry-2")
	awaitPeers(t, one, two)
	one.send(t, plainCall("status", "first"))
	awaitLimitChanges(t, 1, one, two)
	limited.ClearLimit()
	n := 0
	eventually(t, func() bool {
		n++
		answered := 0
		for i := range 20 {
			for _, e := range []*entry{one, two} {
				if e.send(t, plainCall("status", fmt.Sprintf("%s-%d-%d", e.settings.Name, n, i))).status == http.StatusOK {
					answered++
				}
			}
		}
		return answered == 40
	})
}

// A limit that can't be decoded changes nothing.
func TestInvalidLimitLeavesTheOneBefore(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	limited := d.upstream("i-limited", counterService)
	limited.SetLimit(0)
	e := d.startEntry("entry-1")
	require.Equal(t, http.StatusOK, e.send(t, plainCall("status", "first")).status)
	awaitLimitChanges(t, 1, e)
	limited.SetLimit(math.NaN())
	eventually(t, func() bool {
		e.send(t, plainCall("status", fmt.Sprintf("r-%d", time.Now().UnixNano())))
		return strings.Contains(e.metricsPage(t), "jaylink_upstream_invalid_limits_total 1")
	})
	awaitLimitChanges(t, 1, e)
	refused := e.send(t, plainCall("status", "second"))
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Contains(t, refused.body, "upstreams_limited")
}
