package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers go on using the connections that they have open, and opening new ones, until
// a process that stops is gone. What reaches an upstream is answered in full.
func TestPlannedStopUnderLoadCutsOffWhatWasPassedOn(t *testing.T) {
	const callers = 12
	d := newDeployment(t)
	d.configure()
	desk := d.upstream("i-1", counter)
	desk.Pace = 5 * time.Millisecond
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
				call := plain("order", fmt.Sprintf("r-%d-%d", n, i))
				a := own.send(t, call)
				if a.err == nil && a.status == http.StatusOK {
					mu.Lock()
					answered[call.ID] = true
					mu.Unlock()
				}
			}
		})
	}
	eventually(t, func() bool { return len(desk.Runs()) > 10*callers })
	before := len(desk.Runs())
	e.stop(t)
	close(gone)
	running.Wait()
	runs := desk.Runs()
	require.Greater(t, len(runs), before, "callers went on during the stop")
	for _, r := range runs {
		require.True(t, answered[r.RequestID], "%s ran and was not answered", r.RequestID)
	}
	t.Logf("%d requests, %d of them during the stop", len(runs), len(runs)-before)
}
