package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream ends an answer without a length before it has read the request. The kernel may have
// told of a reset only to the write, so that the caller must not get the answer as whole.
func TestAnswerToAHalfWrittenRequestIsGivenAsWhole(t *testing.T) {
	d := newDeployment(t)
	d.maxBody = 32 << 20
	d.configure()
	answered := make(chan struct{})
	d.rawUpstream("i-1", counterService, func(c net.Conn, req *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"\r\nhalf")
		_ = c.(*net.TCPConn).CloseWrite()
		<-answered
	})
	t.Cleanup(func() { close(answered) })
	e := d.startEntry("entry-1")
	call := plainCall("order", "r-1")
	// More than the sockets take.
	call.Body, call.Deadline = strings.Repeat("x", 16<<20), time.Minute
	a := e.send(t, call)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status, a.body)
	require.Contains(t, a.body, "unconfirmed_end")
}
