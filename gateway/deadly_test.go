package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// deadlyBody ends each upstream that runs it.
const deadlyBody = "ends its upstream"

const (
	// downTime is how long an upstream that was ended is away.
	downTime = 700 * time.Millisecond
	// repeatPause is the time between two sends.
	repeatPause = 60 * time.Millisecond
	// repeats is how often the caller of a deadly request sends it.
	repeats = 40
	// mostEnds bounds the upstreams that a deadly request may end: the third is known
	// to all entries within the contact time, and three more sends are allowed.
	mostEnds = 3 + 3
)

// deadlyUpstreams starts upstreams of both zones that a deadly request ends.
func (d *deployment) deadlyUpstreams(count int, service string) []*upstream.Server {
	var list []*upstream.Server
	for i := range count {
		zone := []string{"zone-a", "zone-b"}[i%2]
		s := d.upstreamIn(zone, fmt.Sprintf("i-%d", i), service)
		s.Deadly, s.Down = deadlyBody, downTime
		list = append(list, s)
	}
	return list
}

func crashes(list []*upstream.Server) int {
	sum := 0
	for _, s := range list {
		sum += s.Crashes()
	}
	return sum
}

// knowEachOther waits until the entries have all heard of each other.
func knowEachOther(t *testing.T, entries ...*entry) {
	t.Helper()
	for _, e := range entries {
		eventually(t, func() bool { return e.HeardPeers() == len(entries)-1 })
	}
}

// A caller sends a request that ends its upstream again and again, with new IDs and
// at every entry, beside sound requests.
func TestDeadlyRequestEndsUpstreamsWithoutBound(t *testing.T) {
	for _, route := range []string{"status", "order"} {
		t.Run(route, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			upstreams := d.deadlyUpstreams(12, counterService)
			entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
			knowEachOther(t, entries...)
			served, sound := 0, 0
			var last answer
			pace := time.NewTicker(repeatPause)
			defer pace.Stop()
			for i := range repeats {
				<-pace.C
				call := plainCall(route, fmt.Sprintf("deadly-%d", i))
				call.Body = deadlyBody
				last = entries[i%len(entries)].send(t, call)
				for n := range len(entries) {
					call := plainCall("status", fmt.Sprintf("sound-%d-%d", i, n))
					call.Body = call.ID
					sound++
					if a := entries[n].send(t, call); a.err == nil && a.status == http.StatusOK {
						served++
					}
				}
			}
			t.Logf("ended %d upstreams; served %d of %d sound requests", crashes(upstreams), served, sound)
			require.LessOrEqual(t, crashes(upstreams), mostEnds)
			require.NoError(t, last.err)
			require.Equal(t, http.StatusBadRequest, last.status)
			require.Empty(t, last.header.Get("Retry-After"), "the answer is final")
			require.GreaterOrEqual(t, served, sound*95/100)
		})
	}
}

// crashUntilRefused sends a deadly request until it is refused for good.
func crashUntilRefused(t *testing.T, e *entry) {
	t.Helper()
	n := 0
	eventually(t, func() bool {
		n++
		call := plainCall("order", fmt.Sprintf("deadly-%s-%d", e.settings.Name, n))
		call.Body = deadlyBody
		return e.send(t, call).status == http.StatusBadRequest
	})
}

// An entry that starts after a request has ended three upstreams does not send it on.
func TestDeadlyRequestIsRefusedByAnEntryThatStartsLater(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	upstreams := d.deadlyUpstreams(8, counterService)
	one, two := d.startEntry("entry-1"), d.startEntry("entry-2")
	knowEachOther(t, one, two)
	crashUntilRefused(t, one)
	ended := crashes(upstreams)
	three := d.startEntry("entry-3")
	knowEachOther(t, one, two, three)
	// A word of the others has come, and each word has what they know.
	crashUntilRefused(t, three)
	require.Equal(t, ended, crashes(upstreams))
}

// Upstreams that close connections and are still there have not crashed.
func TestLostConnectionsBlameNoRequest(t *testing.T) {
	for _, fault := range []upstream.Fault{upstream.CloseUnanswered, upstream.CutAnswer, upstream.CutInEvent} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			service, call := counterService, plainCall("status", "")
			if fault == upstream.CutInEvent {
				service, call = engineService, streamCall("once", "")
			}
			var list []*upstream.Server
			for i := range 6 {
				s := d.upstream(fmt.Sprintf("i-%d", i), service)
				s.SetFault(fault)
				list = append(list, s)
			}
			e := d.startEntry("entry-1")
			for i := range 10 {
				call.ID = fmt.Sprintf("r-%d", i)
				require.NotEqual(t, http.StatusBadRequest, e.send(t, call).status)
			}
			for _, s := range list {
				s.SetFault(upstream.Sound)
			}
			call.ID = "last"
			require.Equal(t, http.StatusOK, e.send(t, call).status)
		})
	}
}

// Sound requests that run beside a deadly one lose their upstream with it, and are
// served all the same.
func TestSoundRequestsBesideADeadlyOneAreServed(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	upstreams := d.deadlyUpstreams(6, engineService)
	for _, s := range upstreams {
		s.Pace = 20 * time.Millisecond
	}
	one, two := d.startEntry("entry-1"), d.startEntry("entry-2")
	knowEachOther(t, one, two)
	const callers, calls = 12, 10
	refused := make(chan int, callers)
	for n := range callers {
		go func() {
			count := 0
			for i := range calls {
				call := streamCall("stream", fmt.Sprintf("sound-%d-%d", n, i))
				call.Body = call.ID
				if a := one.send(t, call); a.status == http.StatusBadRequest {
					count++
				}
			}
			refused <- count
		}()
	}
	sent := 0
	eventually(t, func() bool {
		sent++
		call := streamCall("once", fmt.Sprintf("deadly-%d", sent))
		call.Body = deadlyBody
		return two.send(t, call).status == http.StatusBadRequest
	})
	for range callers {
		require.Zero(t, <-refused)
	}
	require.LessOrEqual(t, crashes(upstreams), mostEnds)
}

// Several deadly requests at once end the same upstreams under each other; each is
// bounded by itself.
func TestSeveralDeadlyRequestsAtOnceEndUpstreamsWithoutBound(t *testing.T) {
	const bodies = 4
	d := newDeployment(t)
	d.configure()
	upstreams := d.deadlyUpstreams(12, counterService)
	entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
	knowEachOther(t, entries...)
	done := make(chan struct{}, bodies)
	for n := range bodies {
		go func() {
			defer func() { done <- struct{}{} }()
			pace := time.NewTicker(repeatPause)
			defer pace.Stop()
			for i := range repeats {
				<-pace.C
				call := plainCall("order", fmt.Sprintf("deadly-%d-%d", n, i))
				call.Body = fmt.Sprintf("%s %d", deadlyBody, n)
				entries[(i+n)%len(entries)].send(t, call)
			}
		}()
	}
	for range bodies {
		<-done
	}
	ends := map[string]int{}
	for _, s := range upstreams {
		for _, r := range s.Runs() {
			ends[r.Body]++
		}
	}
	t.Logf("ended by each: %v", ends)
	for body, n := range ends {
		require.LessOrEqual(t, n, mostEnds, body)
	}
}
