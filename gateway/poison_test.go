package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// poisonBody is a request body that crashes each upstream that runs it.
const poisonBody = "crashes its upstream"

const (
	// restartTime is how long an upstream is down after a crash.
	restartTime = 700 * time.Millisecond
	// repeatInterval is the time between two sends.
	repeatInterval = 60 * time.Millisecond
	// repeats is how often a caller sends its poison request.
	repeats = 40
	// maxCrashes limits the upstreams that one poison request may crash: all entries know
	// of the third crash within the contact bound of the platform (contact-ms), and three
	// more sends are allowed.
	maxCrashes = 3 + 3
)

// crashableUpstreams starts upstreams in both availability zones that a poison request
// crashes.
func (d *deployment) crashableUpstreams(count int, service string) []*upstream.Server {
	var list []*upstream.Server
	for i := range count {
		zone := []string{"zone-a", "zone-b"}[i%2]
		s := d.upstreamIn(zone, fmt.Sprintf("i-%d", i), service)
		s.Deadly, s.Down = poisonBody, restartTime
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

// awaitPeers waits until each entry has received messages from all others.
func awaitPeers(t *testing.T, entries ...*entry) {
	t.Helper()
	for _, e := range entries {
		eventually(t, func() bool { return e.HeardPeers() == len(entries)-1 })
	}
}

// A caller repeats a request that crashes its upstream, with a new request ID each time
// and through every entry, while other requests are served. The number of crashes must
// stay bounded.
func TestDeadlyRequestEndsUpstreamsWithoutBound(t *testing.T) {
	for _, route := range []string{"status", "order"} {
		t.Run(route, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			upstreams := d.crashableUpstreams(12, counterService)
			entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
			awaitPeers(t, entries...)
			served, others := 0, 0
			var last answer
			pace := time.NewTicker(repeatInterval)
			defer pace.Stop()
			for i := range repeats {
				<-pace.C
				call := plainCall(route, fmt.Sprintf("poison-%d", i))
				call.Body = poisonBody
				last = entries[i%len(entries)].send(t, call)
				for n := range len(entries) {
					call := plainCall("status", fmt.Sprintf("other-%d-%d", i, n))
					call.Body = call.ID
					others++
					if a := entries[n].send(t, call); a.err == nil && a.status == http.StatusOK {
						served++
					}
				}
			}
			t.Logf("crashed %d upstreams; served %d of %d other requests", crashes(upstreams), served, others)
			require.LessOrEqual(t, crashes(upstreams), maxCrashes)
			require.NoError(t, last.err)
			require.Equal(t, http.StatusBadRequest, last.status)
			require.Empty(t, last.header.Get("Retry-After"), "the refusal must not ask for a retry")
			require.GreaterOrEqual(t, served, others*95/100)
		})
	}
}

// crashUntilRefused repeats a poison request until it is refused with status 400.
func crashUntilRefused(t *testing.T, e *entry) {
	t.Helper()
	n := 0
	eventually(t, func() bool {
		n++
		call := plainCall("order", fmt.Sprintf("poison-%s-%d", e.settings.Name, n))
		call.Body = poisonBody
		return e.send(t, call).status == http.StatusBadRequest
	})
}

// An entry that starts after a request has crashed three upstreams must not forward it.
func TestDeadlyRequestIsRefusedByAnEntryThatStartsLater(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	upstreams := d.crashableUpstreams(8, counterService)
	one, two := d.startEntry("entry-1"), d.startEntry("entry-2")
	awaitPeers(t, one, two)
	crashUntilRefused(t, one)
	crashed := crashes(upstreams)
	three := d.startEntry("entry-3")
	awaitPeers(t, one, two, three)
	// A message from the other entries has arrived. In a fleet this small every message
	// carries the known crashes.
	crashUntilRefused(t, three)
	require.Equal(t, crashed, crashes(upstreams))
}

// Upstreams that close connections but keep running have not crashed, so no request may
// be refused as poison.
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

// Requests that run beside a poison request lose their upstream in the same crashes. They
// must not be refused as poison.
func TestSoundRequestsBesideADeadlyOneAreServed(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	upstreams := d.crashableUpstreams(6, engineService)
	for _, s := range upstreams {
		s.Pace = 20 * time.Millisecond
	}
	one, two := d.startEntry("entry-1"), d.startEntry("entry-2")
	awaitPeers(t, one, two)
	const callers, calls = 12, 10
	refused := make(chan int, callers)
	for n := range callers {
		go func() {
			count := 0
			for i := range calls {
				call := streamCall("stream", fmt.Sprintf("other-%d-%d", n, i))
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
		call := streamCall("once", fmt.Sprintf("poison-%d", sent))
		call.Body = poisonBody
		return two.send(t, call).status == http.StatusBadRequest
	})
	for range callers {
		require.Zero(t, <-refused)
	}
	require.LessOrEqual(t, crashes(upstreams), maxCrashes)
}

// Several poison requests at once crash the upstreams that also run the others. The
// number of upstreams that each may reach is limited all the same.
func TestEachOfSeveralPoisonRequestsCrashesBoundedUpstreams(t *testing.T) {
	const bodies = 4
	d := newDeployment(t)
	d.configure()
	upstreams := d.crashableUpstreams(12, counterService)
	entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
	awaitPeers(t, entries...)
	done := make(chan struct{}, bodies)
	for n := range bodies {
		go func() {
			defer func() { done <- struct{}{} }()
			pace := time.NewTicker(repeatInterval)
			defer pace.Stop()
			for i := range repeats {
				<-pace.C
				call := plainCall("order", fmt.Sprintf("poison-%d-%d", n, i))
				call.Body = fmt.Sprintf("%s %d", poisonBody, n)
				entries[(i+n)%len(entries)].send(t, call)
			}
		}()
	}
	for range bodies {
		<-done
	}
	runs := map[string]int{}
	for _, s := range upstreams {
		for _, r := range s.Runs() {
			runs[r.Body]++
		}
	}
	t.Logf("runs per body: %v", runs)
	for body, n := range runs {
		require.LessOrEqual(t, n, maxCrashes, body)
	}
}
