package gateway_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// inFlight returns the number of requests in flight according to the metrics page.
func (e *entry) inFlight(t *testing.T) string {
	t.Helper()
	resp, err := e.client.Get("http://" + net.JoinHostPort(e.settings.IP, "17514") + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for line := range strings.Lines(string(page)) {
		if value, ok := strings.CutPrefix(line, "jaylink_request_in_flight "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// A caller keeps its connection open but reads nothing of a long answer, so that the
// entry's writes block. The request must end soon after its deadline all the same.
func TestCallerThatDoesNotReadHoldsItsRequestForGood(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	endless := d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	endless.SetFault(upstream.EndlessBody)
	call := plainCall("status", "r-1")
	call.Deadline = time.Second
	req, err := call.Request(context.Background(), e.settings.Front)
	require.NoError(t, err)
	conn, err := newDialer().Dial("tcp", e.settings.Front)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, req.Write(conn))
	eventually(t, func() bool { return endless.Left() == 1 })
	eventually(t, func() bool { return e.inFlight(t) == "0" })
}
