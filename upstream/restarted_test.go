package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
)

// The process of a plain service is killed while it writes an answer without a length, and the
// next one behind the same port gives its load report later than the answer took. That process
// is younger than the request, so it says nothing about the answer.
func TestSlowReportOfARestartedProcessConfirmsAnAnswer(t *testing.T) {
	const answerTime, reportTime = 20 * time.Millisecond, 200 * time.Millisecond
	killed := make(chan time.Time, 1)
	p := newTCPUpstream(t, func(_ *tcpUpstream, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/load" {
			time.Sleep(reportTime)
			body := fmt.Sprintf(`{"running":0,"queued":0,"uptime_ms":%d}`, time.Since(<-killed).Milliseconds())
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(answerTime)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nans")
		killed <- time.Now()
	})
	client := New(nil)
	defer client.Close()
	_, res := client.Forward(t.Context(), newCall(p.Addr().String(), false))
	require.Equal(t, decision.OutcomeBroken, res.Outcome)
}
