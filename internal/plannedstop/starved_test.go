package plannedstop

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
)

// stopDue is a time after SIGTERM at which an entry without requests closes connections.
const stopDue = 3 * time.Second

// Requests that wait in a process which gets no processor time are answered when it goes on,
// also if all time limits of its stop have passed by then.
func TestStarvedEntryDropsWhatItHasReceivedInAPlannedStop(t *testing.T) {
	s := newSite(t)
	s.upstream(t, plainService, 0)
	for _, perKind := range []int{1, 40} {
		g := s.gateway(t)
		g.awaitReady(t)
		t.Run(fmt.Sprintf("%d connections of a kind", perKind), func(t *testing.T) {
			testStarvedStop(t, g, perKind)
		})
	}
}

// testStarvedStop stops a gateway that is frozen from soon after SIGTERM on until its connections
// are due to be closed.
func testStarvedStop(t *testing.T, g *gatewayProcess, perKind int) {
	t.Helper()
	const bodySize = 100
	var conns []*connection
	open := func() *connection {
		c, err := dial(g.front())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
		return c
	}
	for n := range 2 * perKind {
		c := open()
		if n < perKind {
			require.NoError(t, c.send("order", fmt.Sprintf("first-%d", n), bodySize))
			status, _, err := c.answer()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		}
	}
	require.NoError(t, g.Signal(syscall.SIGTERM))
	require.NoError(t, procs.Await("the entry to be unready", func() bool { return !g.isReady() }))
	require.NoError(t, g.Freeze())
	// These wait for the entry to accept them.
	for range perKind {
		open()
	}
	for n, c := range conns {
		require.NoError(t, c.send("order", fmt.Sprintf("late-%d", n), bodySize))
	}
	time.Sleep(stopDue)
	require.NoError(t, g.Signal(syscall.SIGCONT))
	dropped := map[string]int{}
	for n, c := range conns {
		status, _, err := c.answer()
		if err != nil {
			dropped[[]string{"kept", "unused", "waiting to be accepted"}[n/perKind]]++
			continue
		}
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	}
	require.Empty(t, dropped, "of %d each", perKind)
	<-g.Done()
}

// confirmsWithin is longer than an entry waits for the confirmation of the end of an answer.
const confirmsWithin = 1500 * time.Millisecond

// An entry gets no processor time while upstreams confirm the ends of their answers. The answers are
// whole.
func TestStarvedEntryBreaksOffAnswersWhoseEndsAreConfirmed(t *testing.T) {
	const requests = 8
	s := newSite(t)
	s.upstream(t, plainService, 0)
	asked, confirm := make(chan struct{}, requests), make(chan struct{})
	up := s.ups[0]
	up.Undelimited, up.BeforeState = true, func() {
		asked <- struct{}{}
		<-confirm
	}
	g := s.gateway(t)
	g.awaitReady(t)
	var conns []*connection
	for n := range requests {
		c, err := dial(g.front())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.send("order", fmt.Sprintf("r-%d", n), 0))
		conns = append(conns, c)
	}
	<-asked
	require.NoError(t, procs.Await("all requests to be answered", func() bool { return len(up.Runs()) == requests }))
	require.NoError(t, g.Freeze())
	close(confirm)
	time.Sleep(confirmsWithin)
	require.NoError(t, g.Signal(syscall.SIGCONT))
	statuses := map[int]int{}
	for _, c := range conns {
		status, _, err := c.answer()
		require.NoError(t, err)
		statuses[status]++
	}
	require.Equal(t, map[int]int{http.StatusOK: requests}, statuses)
}
