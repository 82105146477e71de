package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/poison"
	"jaylink/standin/upstream"
)

// hiddenCrashes starts engines that a poison request crashes, each behind a forwarder that goes
// on listening. They start again at once, and the store does not learn of it.
func (d *deployment) hiddenCrashes(count int) []*upstream.Server {
	var list []*upstream.Server
	for i := range count {
		s, err := upstream.Start(fmt.Sprintf("i-%d", i), "127.0.0.1")
		require.NoError(d.t, err)
		d.t.Cleanup(s.Close)
		s.Deadly, s.Down, s.RenewsStart = poisonBody, restartTime, true
		d.listForwarded(s, newForwarder(d.t, s.Address()), engineService)
		list = append(list, s)
	}
	return list
}

// lateCrashes returns how many requests with poisonBody reached upstreams later than contactTime
// after the third.
func lateCrashes(list []*upstream.Server) int {
	var times []time.Time
	for _, s := range list {
		for _, a := range s.Arrivals() {
			if strings.HasPrefix(a.RequestID, "poison") {
				times = append(times, a.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	late := 0
	for _, at := range times[min(len(times), poison.Limit):] {
		if at.Sub(times[poison.Limit-1]) > contactTime {
			late++
		}
	}
	return late
}

// Upstreams crash behind ports that go on listening while the store is late to list them again.
// That each answers as another process shows the crash.
func TestCrashesBehindForwardersAreNotCounted(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	list := d.hiddenCrashes(6)
	e := d.startEntry("entry-1")
	pace := time.NewTicker(4 * repeatInterval)
	defer pace.Stop()
	var last answer
	for n := range repeats {
		<-pace.C
		call := streamCall("once", fmt.Sprintf("poison-%d", n))
		call.Body = poisonBody
		last = e.send(t, call)
	}
	t.Logf("%d crashes", crashes(list))
	require.LessOrEqual(t, lateCrashes(list), maxLateRequests)
	require.Equal(t, http.StatusBadRequest, last.status)
	eventually(t, func() bool {
		call := streamCall("stream", fmt.Sprintf("sound-%d", time.Now().UnixNano()))
		a := e.send(t, call)
		return a.err == nil && a.status == http.StatusOK && a.body == completeStream()
	})
}

// An upstream starts again while the store is late to list it. Its answers without a length are
// whole once it has stated what it is.
func TestAnswersOfAnUnlistedRestartAreBrokenOff(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	s := startRestarted(t, "i-1")
	s.Undelimited = true
	d.listUpstream(s, "zone-a", engineService, "ready")
	e := d.startEntry("entry-1")
	// The first answer may be that of the listed process.
	require.Error(t, e.send(t, streamCall("once", "r-0")).err)
	for n := range 3 {
		a := e.send(t, streamCall("once", fmt.Sprintf("r-%d", n+1)))
		require.NoError(t, a.err)
		require.Equal(t, completeStream(), a.body)
	}
}
