package exchange_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticeLimit is how long a test waits for an upstream to notice that its caller has left.
// Normally it takes a few milliseconds.
const noticeLimit = 10 * time.Second

// relayThrough starts a proxy that passes on errors of either side, and an ordinary close only
// once both sides have closed, as some balancers do. It returns its address.
func relayThrough(t *testing.T, address string) string {
	t.Helper()
	return serve(t, func(t *testing.T, c net.Conn, _ *bufio.Reader, _ int) {
		up, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer up.Close()
		ends := make(chan error, 2)
		relay := func(dst, src net.Conn) {
			_, err := io.Copy(dst, src)
			ends <- err
		}
		go relay(up, c)
		go relay(c, up)
		ended := 1
		if <-ends == nil {
			<-ends
			ended++
		}
		_, _ = up.Close(), c.Close()
		for ; ended < 2; ended++ {
			<-ends
		}
	})
}

// The upstream of an exchange that is given up must notice that at once, also behind a proxy
// that keeps half-closed connections, and with its first write. Otherwise it works on while
// the request has gone on elsewhere.
func TestUpstreamWorksOnAfterItsExchangeWasGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nFor: /a\r\nContent-Length: 100\r\n\r\nx"
	cases := map[string]struct {
		proxied bool
		notice  func(c net.Conn, r *bufio.Reader) error
	}{
		"reads":             {false, awaitEnd},
		"reads, by a proxy": {true, awaitEnd},
		"writes":            {false, writeOnce},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			closed, noticed := make(chan struct{}), make(chan error, 1)
			address := serve(t, func(t *testing.T, conn net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				send(t, conn, head)
				<-closed
				noticed <- c.notice(conn, r)
			})
			if c.proxied {
				address = relayThrough(t, address)
			}
			p, _ := newPool(t)
			a, err := p.Do(t.Context(), address, request("/a"))
			require.NoError(t, err)
			a.Close()
			close(closed)
			require.Error(t, <-noticed)
		})
	}
}

// awaitEnd waits until the caller has left and returns how it did.
func awaitEnd(c net.Conn, r *bufio.Reader) error {
	// An error means that the connection is closed; the read then fails, too.
	_ = c.SetReadDeadline(time.Now().Add(noticeLimit))
	_, err := r.ReadByte()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

// writeOnce returns the error of the first write after the caller has left.
func writeOnce(c net.Conn, _ *bufio.Reader) error {
	_, err := io.WriteString(c, "x")
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}
