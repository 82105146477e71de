package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
	"jaylink/decision/reason"
)

// peer is a raw upstream that counts the requests it has read whole.
type peer struct {
	net.Listener
	requests atomic.Int32
}

// newPeer serves each connection with a function until it returns.
func newPeer(t *testing.T, serve func(p *peer, c net.Conn, r *bufio.Reader)) *peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{Listener: ln}
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

// read takes one whole request.
func (p *peer) read(r *bufio.Reader) bool {
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

func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

func call(address string, idempotent bool) ServiceCall {
	return ServiceCall{
		Address: address, RequestID: "r/1", Method: http.MethodPost, URI: "/bookings",
		Header: http.Header{HeaderKey: {"k"}}, Body: []byte("{}"), Idempotent: idempotent, MaxAnswer: 64,
	}
}

func TestFailuresSayWhatTheyProve(t *testing.T) {
	answer := func(text string) func(*peer, net.Conn, *bufio.Reader) {
		return func(p *peer, c net.Conn, r *bufio.Reader) {
			if p.read(r) {
				_, _ = io.WriteString(c, text)
			}
		}
	}
	cases := map[string]struct {
		serve   func(*peer, net.Conn, *bufio.Reader)
		outcome decision.Outcome
		ran     reason.Ran
	}{
		"reset before the request was read": {
			func(_ *peer, c net.Conn, r *bufio.Reader) { _, _ = r.Peek(1); reset(c) },
			decision.OutcomeNoAnswer, reason.RanUnknown,
		},
		"closed after the request was read": {answer(""), decision.OutcomeNoAnswer, reason.RanUnknown},
		"not HTTP":                          {answer("hello\r\n\r\n"), decision.OutcomeNoAnswer, reason.RanUnknown},
		"cut in the body of a success": {
			answer("HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nhalf"),
			decision.OutcomeBroken, reason.RanYes,
		},
		"cut in the body of a failure": {
			answer("HTTP/1.1 500 Failed\r\nContent-Length: 9\r\n\r\nhalf"),
			decision.OutcomeBroken, reason.RanUnknown,
		},
		"server error": {
			answer("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"),
			decision.OutcomeServerError, reason.RanUnknown,
		},
		"a plain service's 503 proves nothing": {
			answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
			decision.OutcomeServerError, reason.RanUnknown,
		},
		"too large": {
			answer("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + string(make([]byte, 65))),
			decision.OutcomeTooLarge, reason.RanYes,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, tc.serve)
			client := New(nil)
			defer client.Close()
			_, res := client.Forward(t.Context(), call(p.Addr().String(), false))
			require.Equal(t, tc.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, tc.ran, res.Ran)
		})
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	p := newPeer(t, func(*peer, net.Conn, *bufio.Reader) {})
	require.NoError(t, p.Close())
	client := New(nil)
	defer client.Close()
	_, res := client.Forward(t.Context(), call(p.Addr().String(), false))
	require.Equal(t, decision.OutcomeConnectFailed, res.Outcome)
	require.Equal(t, reason.RanNo, res.Ran)
}

func TestCanceledBeforeTheConnectionProvesThatNothingRan(t *testing.T) {
	p := newPeer(t, func(*peer, net.Conn, *bufio.Reader) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client := New(nil)
	defer client.Close()
	_, res := client.Forward(ctx, call(p.Addr().String(), false))
	require.Equal(t, decision.OutcomeCanceled, res.Outcome)
	require.Equal(t, reason.RanNo, res.Ran)
}

// closeReused answers the first request of each connection and closes on the
// second, after it has read it.
func closeReused(p *peer, c net.Conn, r *bufio.Reader) {
	if p.read(r) {
		_, _ = io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
	p.read(r)
}

// Go's transport repeats a call that has a key and no body when a reused
// connection breaks.
func TestWorkThatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	const calls = 4
	for _, idempotent := range []bool{false, true} {
		p := newPeer(t, closeReused)
		client := New(nil)
		for range calls {
			c := call(p.Addr().String(), idempotent)
			c.Body = nil
			_, _ = client.Forward(t.Context(), c)
		}
		client.Close()
		if idempotent {
			require.Greater(t, p.requests.Load(), int32(calls), "the transport repeats on shared connections")
			continue
		}
		require.Equal(t, int32(calls), p.requests.Load())
	}
}

// blockedConn blocks each write until it is told to go on.
type blockedConn struct {
	net.Conn
	begun, goOn chan struct{}
	err         error
}

func (c *blockedConn) Write(data []byte) (int, error) {
	close(c.begun)
	<-c.goOn
	if c.err != nil {
		return 0, c.err
	}
	return len(data), nil
}

func TestSealedConnectionIsNotWrittenTo(t *testing.T) {
	inner := &blockedConn{begun: make(chan struct{}), goOn: make(chan struct{})}
	c := &countedConn{Conn: inner}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Write([]byte("x"))
	}()
	<-inner.begun
	require.True(t, c.seal(0), "a write under way may give bytes away")
	close(inner.goOn)
	<-done
	_, err := c.Write([]byte("y"))
	require.ErrorIs(t, err, net.ErrClosed)

	failed := &blockedConn{begun: make(chan struct{}), goOn: make(chan struct{}), err: errors.New("reset")}
	close(failed.goOn)
	c = &countedConn{Conn: failed}
	_, _ = c.Write([]byte("x"))
	require.False(t, c.seal(0), "the system took nothing")
}
