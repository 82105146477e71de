package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers keep sending requests, on open connections and on new ones, until a stopping
// process has ended. Every request that an upstream has run must be answered in full.
func TestPlannedStopUnderLoadCutsOffWhatWasPassedOn(t *testing.T) {
	const callers = 12
	d := newDeployment(t)
	d.configure()
	counterServer := d.upstream("i-1", counterService)
	counterServer.Pace = 5 * time.Millisecond
	e := d.startEntry("entry-1")
	var mu sync.Mutex
	answered := map[string]bool{}
	gone := make(chan struct{})
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			// Half of the callers open a connection for each request.
			transport := &http.Transport{DisableKeepAlives: n%2 == 0}
			defer transport.CloseIdleConnections()
			own := &entry{settings: e.settings, client: &http.Client{Transport: transport}}
			for i := 0; ; i++ {
				select {
				case <-gone:
					return
				default:
				}
				call := plainCall("order", fmt.Sprintf("r-%d-%d", n, i))
				a := own.send(t, call)
				if a.err == nil && a.status == http.StatusOK {
					mu.Lock()
					answered[call.ID] = true
					mu.Unlock()
				}
			}
		})
	}
	eventually(t, func() bool { return len(counterServer.Runs()) > 10*callers })
	before := len(counterServer.Runs())
	e.stop(t)
	close(gone)
	running.Wait()
	runs := counterServer.Runs()
	require.Greater(t, len(runs), before, "requests must run during the stop")
	for _, r := range runs {
		require.True(t, answered[r.RequestID], "request %s ran but was not answered", r.RequestID)
	}
	t.Logf("%d requests, %d of them during the stop", len(runs), len(runs)-before)
}
