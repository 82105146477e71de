package exchange_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/upstream/exchange"
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

// waitLong has an exchange wait for as long as a test may take.
func waitLong() time.Duration { return time.Minute }

// endOfAnswer is how the connection of an answer without a length ends.
type endOfAnswer struct {
	end func(t *testing.T, c net.Conn)
	// rest is sent after the beginning of the answer, right before the end.
	rest string
	// err is what the answer's read has to return; nil for a whole answer.
	err error
}

func resetConn(t *testing.T, c net.Conn) {
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.Close())
}

func closeConn(t *testing.T, c net.Conn) { require.NoError(t, c.Close()) }

// startAnswer sends a request whose answer, without a length, begins with "one" and ends as e says.
// It returns once the beginning was read and the connection has ended, before that was noticed.
func (e endOfAnswer) startAnswer(t *testing.T, req *exchange.Request) *exchange.Answer {
	begun := make(chan struct{})
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		send(t, c, "HTTP/1.1 200 OK\r\nFor: /a\r\n\r\none")
		<-begun
		send(t, c, e.rest)
		e.end(t, c)
	})
	p, _ := newPool(t)
	a, err := p.Do(t.Context(), address, req)
	require.NoError(t, err)
	t.Cleanup(a.Close)
	beginning := make([]byte, 3)
	_, err = io.ReadFull(a, beginning)
	require.NoError(t, err)
	close(begun)
	require.NoError(t, a.AwaitEnd())
	return a
}

// This process has stood still past a deadline, and the connection has ended meanwhile. A reset must
// break the answer off, and a proper end must end it.
func TestResetDuringAFreezeEndsTheAnswerProperly(t *testing.T) {
	for name, tc := range map[string]endOfAnswer{
		"reset":                 {resetConn, "", syscall.ECONNRESET},
		"reset after more data": {resetConn, "two", syscall.ECONNRESET},
		"close":                 {closeConn, "", nil},
		"close after more data": {closeConn, "two", nil},
	} {
		for deadlines, expect := range map[string]func(a *exchange.Answer, asked *int){
			"no more time is granted": func(a *exchange.Answer, asked *int) {
				a.Expect(time.Now().Add(-time.Second), func() time.Duration { *asked++; return 0 })
			},
			"more time is granted": func(a *exchange.Answer, asked *int) {
				a.Expect(time.Now().Add(-time.Second), func() time.Duration { *asked++; return waitLong() })
			},
			"the time that was granted has passed": func(a *exchange.Answer, asked *int) {
				a.Expect(time.Now().Add(-time.Second), func() time.Duration {
					if *asked++; *asked == 3 {
						return waitLong()
					}
					return time.Nanosecond
				})
			},
		} {
			t.Run(name+", "+deadlines, func(t *testing.T) {
				a, asked := tc.startAnswer(t, request("/a")), 0
				expect(a, &asked)
				rest, err := io.ReadAll(a)
				require.ErrorIs(t, err, tc.err)
				require.Equal(t, tc.rest, string(rest))
				require.Zero(t, asked, "what had arrived was taken for silence")
			})
		}
	}
}

// A deadline passes again after this process has waited for more of an event, and the reset comes
// meanwhile.
func TestResetAfterASecondDeadlineEndsTheAnswerProperly(t *testing.T) {
	a := endOfAnswer{resetConn, "", syscall.ECONNRESET}.startAnswer(t, request("/a"))
	a.ExpectAgain(time.Now().Add(-time.Second), waitLong)
	_, err := io.ReadAll(a)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Something else has got the report of the reset, so that the read finds a proper end.
func TestResetThatSomethingElseHasSeenEndsTheAnswerProperly(t *testing.T) {
	for name, req := range map[string]*exchange.Request{"short": request("/a"), "long": longRequest()} {
		t.Run(name, func(t *testing.T) {
			a := endOfAnswer{resetConn, "", exchange.ErrUnconfirmedEnd}.startAnswer(t, req)
			require.ErrorIs(t, a.TakeReport(), syscall.ECONNRESET)
			_, err := io.ReadAll(a)
			require.ErrorIs(t, err, exchange.ErrUnconfirmedEnd)
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}

// longRequest returns a request that is written while its answer is read.
func longRequest() *exchange.Request {
	req := request("/a")
	req.Method, req.Body = "POST", make([]byte, 8<<10)
	return req
}
