package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
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

// Requests that come late in a planned stop, on connections that were opened before or early in
// it, are neither passed on nor dropped: their callers learn that they have not run.
func TestRequestsLateInAPlannedStopAreCutOff(t *testing.T) {
	d := newDeployment(t)
	d.timeout = time.Minute
	d.configure()
	counterServer := d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	var unused []net.Conn
	open := func() {
		c, err := newDialer().Dial("tcp", e.settings.Front)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		unused = append(unused, c)
	}
	open()
	kept := &entry{settings: e.settings, client: &http.Client{Transport: &http.Transport{}}}
	require.Equal(t, http.StatusOK, kept.send(t, plainCall("order", "first")).status)

	// One request outlasts the grace time.
	counterServer.SetFault(upstream.Silent)
	slow := make(chan answer, 1)
	go func() {
		call := plainCall("order", "slow")
		call.Deadline = time.Minute
		slow <- e.send(t, call)
	}()
	eventually(t, func() bool { return len(counterServer.Runs()) == 2 })
	counterServer.SetFault(upstream.Sound)
	stopped := make(chan struct{})
	go func() {
		e.stop(t)
		close(stopped)
	}()
	eventually(t, func() bool { return !e.ready() })
	open()
	// Requests are served until the platform has taken the entry out of rotation.
	require.Equal(t, http.StatusOK, kept.send(t, plainCall("order", "early")).status)
	eventually(t, func() bool {
		c, err := newDialer().Dial("tcp", e.settings.Front)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	runs := len(counterServer.Runs())
	for n, c := range unused {
		req, err := plainCall("order", fmt.Sprintf("late-%d", n)).Request(t.Context(), e.settings.Front)
		require.NoError(t, err)
		require.NoError(t, req.Write(c))
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
		require.NoError(t, resp.Body.Close())
	}
	require.Len(t, counterServer.Runs(), runs, "a late request was passed on")
	// The caller of a request that may have run gets an answer that does not deny it.
	got := <-slow
	require.NoError(t, got.err)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	<-stopped
}

// A caller begins to send a request before a planned stop and ends late in it. The request is
// not passed on, because nothing promises that its answer would come in time.
func TestRequestWhoseBodyEndsLateInAPlannedStopIsPassedOn(t *testing.T) {
	d := newDeployment(t)
	d.timeout, d.maxBody = time.Minute, 100_000
	d.configure()
	counterServer := d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	c, err := newDialer().Dial("tcp", e.settings.Front)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	call := plainCall("order", "late")
	call.Deadline = time.Minute
	call.Body = strings.Repeat("x", d.maxBody)
	req, err := call.Request(t.Context(), e.settings.Front)
	require.NoError(t, err)
	var sent bytes.Buffer
	require.NoError(t, req.Write(&sent))
	rest := sent.Len() - 1
	_, err = c.Write(sent.Bytes()[:rest])
	require.NoError(t, err)
	eventually(t, func() bool { return e.BodyMemory() > 0 })
	stopped := make(chan struct{})
	go func() {
		e.stop(t)
		close(stopped)
	}()
	eventually(t, func() bool {
		other, err := newDialer().Dial("tcp", e.settings.Front)
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	_, err = c.Write(sent.Bytes()[rest:])
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, resp.Body.Close())
	require.Empty(t, counterServer.Runs())
	<-stopped
}
