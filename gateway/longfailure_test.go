package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An upstream fails a request with an answer that is too long to keep. It is relayed if the retry
// budget is empty, and otherwise another upstream gets the request.
func TestLongFailureIsDroppedWithoutAnAlternative(t *testing.T) {
	body := strings.Repeat("x", 2<<20)
	for name, tc := range map[string]struct {
		noRetries bool
		status    int
		body      string
	}{
		"retry budget empty": {true, http.StatusInternalServerError, body},
		"retry":              {false, http.StatusOK, "answer to /status/1?x=1"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.noRetries = tc.noRetries
			d.configure()
			d.rawUpstream("i-bad", counterService, func(c net.Conn, req *http.Request) {
				_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
				_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+sealedHead(req)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
			})
			good := d.upstreamIn("zone-b", "i-good", counterService)
			a := d.startEntry("entry-1").send(t, plainCall("status", "r-1"))
			require.NoError(t, a.err)
			require.Equal(t, tc.status, a.status)
			require.Equal(t, tc.body, a.body)
			require.Equal(t, tc.noRetries, len(good.Runs()) == 0)
		})
	}
}
