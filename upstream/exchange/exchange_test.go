package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"jaylink/upstream/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is the server's side of one connection. n is the number of the connection,
// starting at 1.
type script func(t *testing.T, c net.Conn, r *bufio.Reader, n int)

// serve starts a server that runs a script for one connection after the other. It
// returns the address of the server.
func serve(t *testing.T, s script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s(t, c, bufio.NewReader(c), n)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		<-done
	})
	return l.Addr().String()
}

// readRequest reads one request and returns its target, or "" if there is no further
// request.
func readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	return req.RequestURI
}

// send writes to a connection and logs errors.
func send(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	if err != nil {
		t.Logf("the client closed the connection: %v", err)
	}
}

// responseTo returns a response with the target of its request in the header For.
func responseTo(target, body string) string {
	return "HTTP/1.1 200 OK\r\nFor: " + target + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// itoa formats a number below 100 with two digits.
func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// request returns a request that accepts only responses to its own target.
func request(target string) *exchange.Request {
	return &exchange.Request{
		Method: "GET", Target: target, Host: "h", Header: http.Header{},
		CheckHead: func(_ int, h http.Header) exchange.HeadCheck {
			return exchange.HeadCheck{Matches: h.Get("For") == target}
		},
	}
}

// get sends a request and returns the body of the response.
func get(t *testing.T, p *exchange.Pool, address string, req *exchange.Request) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), address, req)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// newPool returns a pool and the number of connections that it has opened.
func newPool(t *testing.T) (*exchange.Pool, *int) {
	t.Helper()
	p := exchange.NewPool()
	opened := 0
	p.Opened = func() { opened++ }
	t.Cleanup(p.Close)
	return p, &opened
}

func TestCleanConnectionsAreReused(t *testing.T) {
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		for target := readRequest(r); target != ""; target = readRequest(r) {
			send(t, c, responseTo(target, "one"))
		}
	})
	p, opened := newPool(t)
	for range 5 {
		body, err := get(t, p, address, request("/a"))
		require.NoError(t, err)
		require.Equal(t, "one", body)
	}
	require.Equal(t, 1, *opened)
	require.Equal(t, 1, p.Open(address))
	p.Close()
	require.Zero(t, p.Open(address))
}

// A request with MaxIdle is not sent on a connection that was idle for longer. The
// connection stays in the pool for other requests.
func TestMaxIdleSkipsLongIdleConnections(t *testing.T) {
	address := serveConcurrently(t)
	p, opened := newPool(t)
	fresh := request("/a")
	fresh.MaxIdle = time.Nanosecond
	for _, want := range []int{1, 2} {
		_, err := get(t, p, address, fresh)
		require.NoError(t, err)
		require.Equal(t, want, *opened)
	}
	_, err := get(t, p, address, request("/a"))
	require.NoError(t, err)
	require.Equal(t, 2, *opened)
}

// An idle connection that was reset or closed must not carry a request. The look at it takes the report
// of a reset.
func TestIdleConnectionThatHasEndedCarriesARequest(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, c net.Conn){"reset": resetConn, "close": closeConn} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, n int) {
				send(t, c, responseTo(readRequest(r), itoa(n)))
				if n == 1 {
					<-answered
					end(t, c)
				}
			})
			p, opened := newPool(t)
			_, err := get(t, p, address, request("/a"))
			require.NoError(t, err)
			close(answered)
			require.NoError(t, p.AwaitIdleEnd(address))
			body, err := get(t, p, address, request("/b"))
			require.NoError(t, err)
			require.Equal(t, itoa(2), body)
			require.Equal(t, 2, *opened)
		})
	}
}

// serveConcurrently starts a server that serves connections concurrently and returns
// its address.
func serveConcurrently(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("For", r.RequestURI)
		_, err := io.WriteString(w, "one")
		require.NoError(t, err)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// A connection is closed after any response that does not leave it clean.
func TestUncleanConnectionsAreDropped(t *testing.T) {
	cases := map[string]string{
		"Connection: close":        "HTTP/1.1 200 OK\r\nFor: /a\r\nConnection: close\r\nContent-Length: 3\r\n\r\none",
		"extra bytes":              responseTo("/a", "one") + "more",
		"extra response":           responseTo("/a", "one") + responseTo("/a", "two"),
		"no length":                "HTTP/1.1 200 OK\r\nFor: /a\r\n\r\none",
		"other request's response": responseTo("/b", "two") + responseTo("/a", "one"),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
				if readRequest(r) != "" {
					send(t, c, text)
				}
			})
			p, opened := newPool(t)
			for range 3 {
				body, err := get(t, p, address, request("/a"))
				require.NoError(t, err)
				require.Equal(t, "one", body)
			}
			require.Equal(t, 3, *opened)
		})
	}
}

// A late response to an earlier request is skipped.
func TestLateAnswerIsSkipped(t *testing.T) {
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		for target := readRequest(r); target != ""; target = readRequest(r) {
			if target == "/b" {
				send(t, c, responseTo("/a", "old"))
			}
			send(t, c, responseTo(target, "new"))
		}
	})
	p, _ := newPool(t)
	_, err := get(t, p, address, request("/a"))
	require.NoError(t, err)
	body, err := get(t, p, address, request("/b"))
	require.NoError(t, err)
	require.Equal(t, "new", body)
}

// Error.Sent tells whether the request was written completely, so that the upstream
// may have run it.
func TestErrorStepAndSent(t *testing.T) {
	cases := map[string]struct {
		script script
		sent   bool
		step   string
	}{
		"connection closed after the request": {func(_ *testing.T, _ net.Conn, r *bufio.Reader, _ int) { readRequest(r) }, true, "read_head"},
		"invalid response": {func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			send(t, c, "garbage\r\n\r\n")
		}, true, "read_head"},
		"only a response to another request": {func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			send(t, c, responseTo("/z", "one"))
		}, true, "read_head"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, _ := newPool(t)
			_, err := get(t, p, serve(t, c.script), request("/a"))
			var failed *exchange.Error
			require.ErrorAs(t, err, &failed)
			require.Equal(t, c.sent, failed.Sent)
			require.Equal(t, c.step, failed.Step)
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	p, _ := newPool(t)
	_, err = get(t, p, l.Addr().String(), request("/a"))
	var failed *exchange.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	require.Equal(t, "connect", failed.Step)
	require.Zero(t, p.Open(l.Addr().String()))
}

// An upstream may begin to run a long request before it has read all of it.
func TestPartOfARequestMayHaveRun(t *testing.T) {
	address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		_, err := http.ReadRequest(r)
		require.NoError(t, err)
		// The connection is reset, as much of the request is unread.
	})
	p, _ := newPool(t)
	long := request("/a")
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 64<<20))
	_, err := get(t, p, address, long)
	var failed *exchange.Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
}

// An upstream may respond before a long request is written completely. The connection
// is then not reused.
func TestEarlyAnswerToALongRequest(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, n int) {
		if n > 1 {
			if readRequest(r) != "" {
				send(t, c, responseTo("/a", "two"))
			}
			return
		}
		_, err := http.ReadRequest(r)
		require.NoError(t, err)
		send(t, c, responseTo("/a", "one"))
		<-release
	})
	p, opened := newPool(t)
	long := request("/a")
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 8<<20))
	body, err := get(t, p, address, long)
	require.NoError(t, err)
	require.Equal(t, "one", body)
	close(release)
	body, err = get(t, p, address, request("/a"))
	require.NoError(t, err)
	require.Equal(t, "two", body)
	require.Equal(t, 2, *opened)
}

// A truncated response is an error with Content-Length and with chunked encoding.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nFor: /a\r\nContent-Length: 30\r\n\r\none",
		"chunked": "HTTP/1.1 200 OK\r\nFor: /a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newPool(t)
			_, err := get(t, p, serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				send(t, c, text)
			}), request("/a"))
			require.Error(t, err)
		})
	}
}

// When the context ends, the connection is closed, which the server detects.
func TestContextEndClosesTheConnection(t *testing.T) {
	left := make(chan error, 1)
	address := serve(t, func(_ *testing.T, _ net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, err := r.ReadByte()
		left <- err
	})
	p, _ := newPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := p.Do(ctx, address, request("/a"))
	require.Error(t, err)
	require.Error(t, <-left)
	require.Zero(t, p.Open(address))
}

func TestSilenceEndsAtTheHeadTimeout(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(_ *testing.T, _ net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		<-release
	})
	p, _ := newPool(t)
	req := request("/a")
	req.HeadTimeout = 20 * time.Millisecond
	_, err := p.Do(t.Context(), address, req)
	close(release)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.False(t, errors.Is(err, context.Canceled))
}

// An upstream that closes the connection right after reading a long request may have
// run it. The close may be seen by the reader of the response before the concurrent
// write of the request is known to be complete; Sent must be true all the same.
func TestLongRequestThatWasReadIsReportedAsSent(t *testing.T) {
	address := serve(t, func(_ *testing.T, _ net.Conn, r *bufio.Reader, _ int) { readRequest(r) })
	p, _ := newPool(t)
	for range 400 {
		req := request("/a")
		req.Method, req.Body = "POST", []byte(strings.Repeat("x", 6000))
		_, err := get(t, p, address, req)
		var failed *exchange.Error
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.Sent)
	}
}

// An endless response is read up to a size limit and not until the caller's deadline.
func TestBytesWithoutEnd(t *testing.T) {
	line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
	cases := map[string][2]string{
		"head":                        {"HTTP/1.1 200 OK\r\n", line},
		"header line":                 {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 1000)},
		"no status line":              {"", strings.Repeat("x", 1000)},
		"1xx responses":               {"", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
		"response to another request": {"HTTP/1.1 200 OK\r\nFor: /other\r\n\r\n", strings.Repeat("x", 1000)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := serve(t, func(_ *testing.T, conn net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				n := 0
				for text, err := c[0]+c[1], error(nil); err == nil; text = c[1] {
					_, err = io.WriteString(conn, text)
					n += len(text)
				}
				sent <- n
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := exchange.NewPool().Do(ctx, address, request("/1"))
			require.NoError(t, ctx.Err())
			var ex *exchange.Error
			require.ErrorAs(t, err, &ex)
			require.Equal(t, "read_head", ex.Step)
			require.True(t, ex.Sent)
			if name != "no status line" {
				require.ErrorIs(t, err, exchange.ErrTooLong)
			}
			// The kernel buffers a few megabytes beyond what was read.
			require.Less(t, <-sent, 64<<20)
		})
	}
}

// serveEach starts a server that runs a script for each connection, several at a time.
func serveEach(t *testing.T, s func(t *testing.T, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				s(t, c, bufio.NewReader(c))
				_ = c.Close()
			})
		}
	})
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		tasks.Wait()
	})
	return l.Addr().String()
}
