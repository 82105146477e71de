package plannedstop

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
)

// An entry that stops gets SIGTERM once more, SIGHUP and a configuration, while upstreams work on
// its requests. All are answered.
func TestSecondSIGTERMCutsOffWhatWasPassedOn(t *testing.T) {
	s := newSite(t)
	s.upstream(t, plainService, time.Second)
	s.upstream(t, engineService, 200*time.Millisecond)
	g := s.gateway(t)
	g.awaitReady(t)
	var conns []*connection
	for _, route := range []string{"order", "once"} {
		c, err := dial(g.front())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.send(route, "r-"+route, 100))
		conns = append(conns, c)
	}
	for _, up := range s.ups {
		require.NoError(t, procs.Await("the request to run", func() bool { return len(up.Runs()) == 1 }))
	}
	require.NoError(t, g.Signal(syscall.SIGTERM))
	require.NoError(t, procs.Await("the entry to be unready", func() bool { return !g.isReady() }))
	s.configure()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		require.NoError(t, g.Signal(sig))
	}
	for _, c := range conns {
		status, _, err := c.answer()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	<-g.Done()
}
