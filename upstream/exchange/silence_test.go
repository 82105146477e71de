package exchange_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silenceStep is a short deadline; what is tested does not depend on its length.
const silenceStep = 5 * time.Millisecond

// A head that is late must be waited for as long as OnSilence wants, with the part of it that
// has arrived.
func TestLateHeadIsLostAtItsTimeout(t *testing.T) {
	waited := make(chan struct{})
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		text := responseTo("/a", "one")
		send(t, c, text[:20])
		<-waited
		send(t, c, text[20:])
	})
	p, _ := newPool(t)
	req, asked := request("/a"), 0
	req.HeadTimeout = silenceStep
	req.OnSilence = func() time.Duration {
		if asked++; asked == 3 {
			close(waited)
		}
		return silenceStep
	}
	body, err := get(t, p, address, req)
	require.NoError(t, err)
	require.Equal(t, "one", body)
	require.GreaterOrEqual(t, asked, 3)
}

// A silent body, with a length or chunks, goes on where it stopped.
func TestSilentBodyIsLostAtItsDeadline(t *testing.T) {
	for name, text := range map[string][2]string{
		"length": {"HTTP/1.1 200 OK\r\nFor: /a\r\nContent-Length: 6\r\n\r\non", "etwo"},
		"chunks": {"HTTP/1.1 200 OK\r\nFor: /a\r\nTransfer-Encoding: chunked\r\n\r\n6\r", "\nonetwo\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			waited := make(chan struct{})
			address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				send(t, c, text[0])
				<-waited
				send(t, c, text[1])
			})
			p, opened := newPool(t)
			a, err := p.Do(t.Context(), address, request("/a"))
			require.NoError(t, err)
			asked := 0
			a.Expect(time.Now().Add(silenceStep), func() time.Duration {
				if asked++; asked == 3 {
					close(waited)
				}
				return silenceStep
			})
			body, err := io.ReadAll(a)
			require.NoError(t, err)
			a.Close()
			require.Equal(t, "onetwo", string(body))
			require.Equal(t, 1, *opened)
		})
	}
}

// A process that was held up past the deadline must not take bytes that wait to be read for
// silence.
func TestBytesThatCameInTimeAreTakenForSilence(t *testing.T) {
	written := make(chan struct{})
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		send(t, c, "HTTP/1.1 200 OK\r\nFor: /a\r\nContent-Length: 3\r\n\r\n")
		readRequest(r)
	})
	late := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		send(t, c, "HTTP/1.1 200 OK\r\nFor: /a\r\nContent-Length: 3\r\n\r\n")
		<-written
		send(t, c, "one")
		close(written)
	})
	p, _ := newPool(t)
	a, err := p.Do(t.Context(), late, request("/a"))
	require.NoError(t, err)
	written <- struct{}{}
	<-written
	a.Expect(time.Now().Add(-time.Second), func() time.Duration { return 0 })
	body, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "one", string(body))
	a.Close()

	a, err = p.Do(t.Context(), address, request("/a"))
	require.NoError(t, err)
	a.Expect(time.Now().Add(-time.Second), func() time.Duration { return 0 })
	_, err = io.ReadAll(a)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	a.Close()
}

// Bytes without an event, such as comments, put off the question only once.
func TestTrickleWithoutEndIsWaitedFor(t *testing.T) {
	address := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		text := "HTTP/1.1 200 OK\r\nFor: /a\r\n\r\n"
		for err := error(nil); err == nil; text = "x" {
			_, err = io.WriteString(c, text)
		}
	})
	p, _ := newPool(t)
	a, err := p.Do(t.Context(), address, request("/a"))
	require.NoError(t, err)
	a.Expect(time.Now().Add(silenceStep), func() time.Duration { return 0 })
	_, err = io.Copy(io.Discard, a)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	a.Close()
}
