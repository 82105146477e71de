package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream/exchange"
)

// tcpUpstream is an upstream that works on raw connections. It counts the requests
// that it has read completely.
type tcpUpstream struct {
	net.Listener
	requests atomic.Int32
}

// newTCPUpstream starts an upstream that calls serve for each connection and closes
// the connection afterwards.
func newTCPUpstream(t *testing.T, serve func(p *tcpUpstream, c net.Conn, r *bufio.Reader)) *tcpUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpUpstream{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(p, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

// readRequest reads one complete request.
func (p *tcpUpstream) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	p.requests.Add(1)
	return true
}

// reset makes the close of a connection send a TCP reset.
func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

func newCall(address string, idempotent bool) ServiceCall {
	return ServiceCall{
		Address: address, RequestID: "r/1", Method: http.MethodPost, URI: "/bookings",
		Header: http.Header{HeaderIdempotencyKey: {"k"}}, Body: []byte("{}"), Idempotent: idempotent, MaxAnswer: 64,
	}
}

func TestFailureResults(t *testing.T) {
	answer := func(text string) func(*tcpUpstream, net.Conn, *bufio.Reader) {
		return func(p *tcpUpstream, c net.Conn, r *bufio.Reader) {
			if p.readRequest(r) {
				_, _ = io.WriteString(c, text)
			}
		}
	}
	cases := map[string]struct {
		serve   func(*tcpUpstream, net.Conn, *bufio.Reader)
		outcome decision.Outcome
		ran     reason.Ran
	}{
		"reset before the request was read": {
			func(_ *tcpUpstream, c net.Conn, r *bufio.Reader) { _, _ = r.Peek(1); reset(c) },
			decision.OutcomeNoAnswer, reason.RanUnknown,
		},
		"closed after the request was read": {answer(""), decision.OutcomeNoAnswer, reason.RanUnknown},
		"not HTTP":                          {answer("hello\r\n\r\n"), decision.OutcomeNoAnswer, reason.RanUnknown},
		"truncated body of a success": {
			answer("HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nhalf"),
			decision.OutcomeBroken, reason.RanYes,
		},
		"truncated body of a failure": {
			answer("HTTP/1.1 500 Failed\r\nContent-Length: 9\r\n\r\nhalf"),
			decision.OutcomeBroken, reason.RanUnknown,
		},
		"server error": {
			answer("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"),
			decision.OutcomeServerError, reason.RanUnknown,
		},
		"503 of a plain service, which may have run it": {
			answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
			decision.OutcomeServerError, reason.RanUnknown,
		},
		"body over the maximum size": {
			answer("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + string(make([]byte, 65))),
			decision.OutcomeTooLarge, reason.RanYes,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTCPUpstream(t, tc.serve)
			client := New(nil)
			defer client.Close()
			_, res := client.Forward(t.Context(), newCall(p.Addr().String(), false))
			require.Equal(t, tc.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, tc.ran, res.Ran)
		})
	}
}

// loadReply is a load report of a process that has run for some time.
const loadReply = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"

// An answer may have neither a length nor chunks. It is complete if its upstream answers for
// the process that wrote it, and not if that has crashed or nothing is known of it.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		// crashes closes the listener, and report is the load report after the end; a call
		// for it is closed without an answer if it is "".
		crashes bool
		report  string
		whole   bool
	}{
		"complete":                 {report: `{"running":0,"queued":0,"uptime_ms":60000}`, whole: true},
		"crash":                    {crashes: true},
		"killed, the port is open": {report: ""},
		"killed and restarted":     {report: `{"running":0,"queued":0,"uptime_ms":1}`},
		"process is not named":     {report: `{"running":0,"queued":0}`},
		"another kind of upstream": {report: "<html>"},
		"report is cut off":        {report: `{"running":0,`},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTCPUpstream(t, func(p *tcpUpstream, c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.URL.Path == "/load" {
					if tc.report != "" {
						_, _ = fmt.Fprintf(c, loadReply, len(tc.report), tc.report)
					}
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nanswer")
				if tc.crashes {
					_ = p.Close()
				}
			})
			client := New(nil)
			defer client.Close()
			answer, res := client.Forward(t.Context(), newCall(p.Addr().String(), false))
			if !tc.whole {
				require.Equal(t, decision.OutcomeBroken, res.Outcome)
				require.ErrorIs(t, res.Err, exchange.ErrUnconfirmedEnd)
				return
			}
			require.Equal(t, decision.OutcomeDone, res.Outcome, "%v", res.Err)
			require.Equal(t, "answer", string(answer.Body))
		})
	}
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	p := newTCPUpstream(t, func(*tcpUpstream, net.Conn, *bufio.Reader) {})
	require.NoError(t, p.Close())
	client := New(nil)
	defer client.Close()
	_, res := client.Forward(t.Context(), newCall(p.Addr().String(), false))
	require.Equal(t, decision.OutcomeConnectFailed, res.Outcome)
	require.Equal(t, reason.RanNo, res.Ran)
}

func TestCancelBeforeConnectMeansNotRun(t *testing.T) {
	p := newTCPUpstream(t, func(*tcpUpstream, net.Conn, *bufio.Reader) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client := New(nil)
	defer client.Close()
	_, res := client.Forward(ctx, newCall(p.Addr().String(), false))
	require.Equal(t, decision.OutcomeCanceled, res.Outcome)
	require.Equal(t, reason.RanNo, res.Ran)
}

// closeOnReuse responds to the first request of each connection, and closes the
// connection without a response after reading the second.
func closeOnReuse(p *tcpUpstream, c net.Conn, r *bufio.Reader) {
	if p.readRequest(r) {
		_, _ = io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
	p.readRequest(r)
}

// When a reused connection breaks, Go's transport retries a call that has an
// idempotency key and no body. Calls that are not idempotent must not be sent on
// reused connections.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	const calls = 4
	for _, idempotent := range []bool{false, true} {
		p := newTCPUpstream(t, closeOnReuse)
		client := New(nil)
		for range calls {
			c := newCall(p.Addr().String(), idempotent)
			c.Body = nil
			_, _ = client.Forward(t.Context(), c)
		}
		client.Close()
		if idempotent {
			require.Greater(t, p.requests.Load(), int32(calls), "the transport retries on shared connections")
			continue
		}
		require.Equal(t, int32(calls), p.requests.Load())
	}
}

// blockedConn blocks a write until proceed is closed. It closes started when the write
// starts. If err is set, the write fails.
type blockedConn struct {
	net.Conn
	started, proceed chan struct{}
	err              error
}

func (c *blockedConn) Write(data []byte) (int, error) {
	close(c.started)
	<-c.proceed
	if c.err != nil {
		return 0, c.err
	}
	return len(data), nil
}

func TestWritesFailWhenDisabled(t *testing.T) {
	inner := &blockedConn{started: make(chan struct{}), proceed: make(chan struct{})}
	c := &countedConn{Conn: inner}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Write([]byte("x"))
	}()
	<-inner.started
	require.True(t, c.disableWrites(0), "a write in progress may send bytes")
	close(inner.proceed)
	<-done
	_, err := c.Write([]byte("y"))
	require.ErrorIs(t, err, net.ErrClosed)

	failed := &blockedConn{started: make(chan struct{}), proceed: make(chan struct{}), err: errors.New("reset")}
	close(failed.proceed)
	c = &countedConn{Conn: failed}
	_, _ = c.Write([]byte("x"))
	require.False(t, c.disableWrites(0), "no bytes were accepted")
}
