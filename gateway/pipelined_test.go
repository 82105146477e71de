package gateway_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// A caller sends a request before it has the answer to the one before it, and that request is
// still running at the end of the grace time. Its caller gets an answer, as any other does.
func TestPipelinedRequestCountsAsUnusedConnectionAtTheEndOfAPlannedStop(t *testing.T) {
	d := newDeployment(t)
	d.timeout = time.Minute
	d.configure()
	d.upstream("i-plain", counterService)
	silent := d.upstream("i-silent", engineService)
	silent.SetFault(upstream.Silent)
	e := d.startEntry("entry-1")
	c, err := newDialer().Dial("tcp", e.settings.Front)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	var sent bytes.Buffer
	var requests []*http.Request
	for _, call := range []caller.Call{plainCall("order", "first"), streamCall("once", "second")} {
		call.Deadline = time.Minute
		req, err := call.Request(t.Context(), e.settings.Front)
		require.NoError(t, err)
		require.NoError(t, req.Write(&sent))
		requests = append(requests, req)
	}
	_, err = c.Write(sent.Bytes())
	require.NoError(t, err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, requests[0])
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	eventually(t, func() bool { return len(silent.Runs()) == 1 })
	stopped := make(chan struct{})
	go func() {
		e.stop(t)
		close(stopped)
	}()
	resp, err = http.ReadResponse(r, requests[1])
	require.NoError(t, err, "the connection was closed while a request was under way on it")
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	<-stopped
}
