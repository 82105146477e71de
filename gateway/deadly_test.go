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
		eventually(t, func() bool { return e.Peers() == len(entries)-1 })
	}
}

// A caller sends a request that ends its upstream again and again, with new IDs and
// at every entry, beside sound requests.
func TestDeadlyRequestEndsUpstreamsWithoutBound(t *testing.T) {
	for _, route := range []string{"status", "order"} {
		t.Run(route, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			upstreams := d.deadlyUpstreams(12, counter)
			entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
			knowEachOther(t, entries...)
			served, sound := 0, 0
			var last answer
			pace := time.NewTicker(repeatPause)
			defer pace.Stop()
			for i := range repeats {
				<-pace.C
				call := plain(route, fmt.Sprintf("deadly-%d", i))
				call.Body = deadlyBody
				last = entries[i%len(entries)].send(t, call)
				for n := range len(entries) {
					call := plain("status", fmt.Sprintf("sound-%d-%d", i, n))
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
