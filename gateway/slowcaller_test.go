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

// inFlight reads from the metrics page how many requests an entry has under way.
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

// A caller that takes nothing of a long answer keeps its connection open. Its request
// ends soon after its deadline.
func TestCallerThatDoesNotReadHoldsItsRequestForGood(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad := d.upstream("i-1", counter)
	e := d.startEntry("entry-1")
	bad.SetFault(upstream.EndlessBody)
	call := plain("status", "r-1")
	call.Deadline = time.Second
	req, err := call.Request(context.Background(), e.settings.Front)
	require.NoError(t, err)
	conn, err := newDialer().Dial("tcp", e.settings.Front)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, req.Write(conn))
	eventually(t, func() bool { return bad.Left() == 1 })
	eventually(t, func() bool { return e.inFlight(t) == "0" })
}
