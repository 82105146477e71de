package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
)

// unflushedConn is a connection whose peer answers before the request, and whose write gets the
// reset, so that the read finds a proper end.
type unflushedConn struct {
	net.Conn
	answer  io.Reader
	writing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newUnflushedConn(answer string) *unflushedConn {
	inner, other := net.Pipe()
	_ = other.Close()
	return &unflushedConn{Conn: inner, answer: strings.NewReader(answer), writing: make(chan struct{}), closed: make(chan struct{})}
}

func (c *unflushedConn) Read(p []byte) (int, error) {
	<-c.writing
	return c.answer.Read(p)
}

func (c *unflushedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, syscall.ECONNRESET
}

func (c *unflushedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// readCall reads a request and reports whether it has to be answered. It answers one for the load
// report itself, which shows that the process has run for long.
func readCall(c net.Conn, r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if req.URL.Path == "/load" {
		const report = `{"uptime_ms":60000}`
		_, _ = fmt.Fprintf(c, loadReply, len(report), report)
		return false
	}
	return true
}

// answerUndelimited answers each request without a length.
func answerUndelimited(_ *tcpUpstream, c net.Conn, r *bufio.Reader) {
	if readCall(c, r) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nanswer")
	}
}

// A request fits into the transport's buffer, which tells that it was written before a byte was
// sent. The upstream's answer to nothing ends properly, and its process runs.
func TestAnswerToAnUnsentRequestIsWhole(t *testing.T) {
	p := newTCPUpstream(t, answerUndelimited)
	client := New(nil)
	defer client.Close()
	// The load report is asked for on other connections.
	transport := client.single.Transport.(checkedTransport)
	transport.DialContext = dialCounted(func(context.Context, string, string) (net.Conn, error) {
		return newUnflushedConn("HTTP/1.1 200 OK\r\n\r\npart"), nil
	})
	_, res := client.Forward(t.Context(), newCall(p.Addr().String(), false))
	require.NotEqual(t, decision.OutcomeDone, res.Outcome)
}

// The length of a request on the wire is known, so that it can be told whether all was sent.
func TestLengthOnTheWire(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for _, size := range []int{0, 1, 3000, 4096, 5000, 1 << 20} {
			p := newTCPUpstream(t, answerUndelimited)
			client := New(nil)
			call := newCall(p.Addr().String(), idempotent)
			call.Body = bytes.Repeat([]byte("x"), size)
			call.Header.Add("X-Two", "a")
			call.Header.Add("X-Two", "b")
			_, res := client.Forward(t.Context(), call)
			require.Equal(t, decision.OutcomeDone, res.Outcome, "%d bytes: %v", size, res.Err)
			client.Close()
		}
	}
}
