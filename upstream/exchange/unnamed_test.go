package exchange_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/notrun"
	"jaylink/upstream/exchange"
)

// unnamedRefusal states that a request was not run and does not say which.
var unnamedRefusal = fmt.Sprintf(refusalFor, "")

// A refusal that names no request belongs to none if the connection has carried others, also
// if none of them was refused.
func TestUnnamedRefusalOnAUsedConnectionIsBelieved(t *testing.T) {
	cases := map[string]func(t *testing.T, c net.Conn, r *bufio.Reader){
		"as soon as the connection is idle": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			send(t, c, fmt.Sprintf(answerFor, "a")+unnamedRefusal)
			if readRequest(r) != "" {
				send(t, c, fmt.Sprintf(answerFor, "b"))
			}
		},
		"after the next request was read": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			send(t, c, fmt.Sprintf(answerFor, "a"))
			if readRequest(r) != "" {
				send(t, c, unnamedRefusal+fmt.Sprintf(answerFor, "b"))
			}
		},
		"while the next request is read": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			send(t, c, fmt.Sprintf(answerFor, "a"))
			if _, err := r.Peek(1); err == nil {
				send(t, c, unnamedRefusal)
			}
			if readRequest(r) != "" {
				send(t, c, fmt.Sprintf(answerFor, "b"))
			}
		},
		"after an answer to an earlier request": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			send(t, c, fmt.Sprintf(answerFor, "a"))
			if readRequest(r) != "" {
				send(t, c, fmt.Sprintf(answerFor, "a")+unnamedRefusal+fmt.Sprintf(answerFor, "b"))
			}
		},
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int32
			address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
				switch {
				case readRequest(r) == "":
				case connections.Add(1) == 1:
					script(t, c, r)
				default:
					send(t, c, fmt.Sprintf(answerFor, "b"))
				}
			})
			p, _ := newPool(t)
			_, err := get(t, p, address, identified("a"))
			require.NoError(t, err)
			body, err := get(t, p, address, identified("b"))
			if errors.Is(err, exchange.ErrAmbiguous) {
				var failed *exchange.Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Sent)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "one", body)
		})
	}
}

// What an upstream writes on a new connection before the request was sent belongs to no
// request. Nothing is then sent on the connection.
func TestBytesBeforeTheRequestAreTakenForItsRefusal(t *testing.T) {
	for name, text := range map[string]string{
		"refusal": unnamedRefusal, "named refusal": fmt.Sprintf(refusalFor, "a"), "answer": fmt.Sprintf(answerFor, "a"), "part of a head": "HTTP/1.1 503",
	} {
		t.Run(name, func(t *testing.T) {
			written, ran := make(chan struct{}), make(chan bool, 1)
			address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
				send(t, c, text)
				close(written)
				ran <- readRequest(r) != ""
			})
			p, _ := newPool(t)
			p.Opened = func() { <-written }
			_, err := get(t, p, address, identified("a"))
			require.ErrorIs(t, err, exchange.ErrUnsolicited)
			var failed *exchange.Error
			require.ErrorAs(t, err, &failed)
			require.False(t, failed.Sent)
			require.False(t, <-ran)
			require.Zero(t, p.Open(address))
		})
	}
}

// An upstream that has closed a new connection before anything was sent on it can't have run
// the request.
func TestConnectionThatIsClosedAtOnceCountsAsSent(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(t *testing.T, c net.Conn, _ *bufio.Reader, _ int) {
		require.NoError(t, c.Close())
		close(closed)
	})
	p, _ := newPool(t)
	p.Opened = func() { <-closed }
	_, err := get(t, p, address, identified("a"))
	var failed *exchange.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// A stray answer shows that the upstream confuses the requests of a connection, also on a new
// one.
func TestUnnamedRefusalAfterAStrayAnswerIsBelieved(t *testing.T) {
	address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != "" {
			send(t, c, fmt.Sprintf(answerFor, "z")+unnamedRefusal)
		}
	})
	p, _ := newPool(t)
	_, err := get(t, p, address, identified("a"))
	require.ErrorIs(t, err, exchange.ErrAmbiguous)
}

// A refusal on a new connection is that of its only request; one that names the request is
// believed on any connection. Answers tell which of the two it was.
func TestRefusalsThatAreCertain(t *testing.T) {
	names := []string{"", "b"}
	var n atomic.Int32
	address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for i := 0; readRequest(r) != ""; i++ {
			name := names[n.Load()]
			if name == "b" && i == 0 {
				send(t, c, fmt.Sprintf(answerFor, "a"))
				continue
			}
			send(t, c, fmt.Sprintf(refusalFor, name))
		}
	})
	p, _ := newPool(t)
	a, err := p.Do(t.Context(), address, identified("a"))
	require.NoError(t, err)
	require.Equal(t, notrun.Unnamed, a.NotRun)
	a.Close()
	n.Store(1)
	_, err = get(t, p, address, identified("a"))
	require.NoError(t, err)
	a, err = p.Do(t.Context(), address, identified("b"))
	require.NoError(t, err)
	require.Equal(t, notrun.Named, a.NotRun)
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	_, err = io.Copy(io.Discard, a)
	require.NoError(t, err)
	a.Close()
}
