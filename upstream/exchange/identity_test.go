package exchange_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/upstream/exchange"
)

// identified returns a request with an ID that its response must name in the header For. A
// response with the header Refused states that the request was not run.
func identified(id string) *exchange.Request {
	req := request("/a")
	req.ID = id
	req.CheckHead = func(_ int, h http.Header) exchange.HeadCheck {
		name, refused := h.Get("For"), h.Get("Refused") != ""
		return exchange.HeadCheck{Matches: name == id || name == "" && refused, NotRun: refused, Anonymous: name == "" && refused}
	}
	return req
}

const (
	answerFor  = "HTTP/1.1 200 OK\r\nFor: %s\r\nContent-Length: 3\r\n\r\none"
	refusalFor = "HTTP/1.1 503 Busy\r\nFor: %s\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
)

// A late or repeated response to a request could not be told from that to a request with the
// same ID on the same connection.
func TestRequestIsRepeatedOnTheConnectionOfItsFirstAttempt(t *testing.T) {
	address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for n := 0; readRequest(r) != ""; n++ {
			send(t, c, fmt.Sprintf(answerFor, []string{"a", "b", "c"}[n%3]))
		}
	})
	p, opened := newPool(t)
	for _, id := range []string{"a", "b", "c", "a"} {
		_, err := get(t, p, address, identified(id))
		require.NoError(t, err)
	}
	require.Equal(t, 2, *opened)
	// The first connection is still in the pool, for other requests.
	require.Equal(t, 2, p.Open(address))
}

// A refusal that names no request may be an earlier one once more, if there was one on the
// connection. After it the connection is not used again.
func TestRefusalWithoutAnID(t *testing.T) {
	address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != "" {
			send(t, c, fmt.Sprintf(refusalFor, "a"))
		}
		if readRequest(r) != "" {
			send(t, c, fmt.Sprintf(refusalFor, ""))
		}
	})
	p, opened := newPool(t)
	_, err := get(t, p, address, identified("a"))
	require.NoError(t, err)
	_, err = get(t, p, address, identified("b"))
	require.ErrorIs(t, err, exchange.ErrAmbiguous)
	var failed *exchange.Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	require.Equal(t, 1, *opened)

	unnamed := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != "" {
			send(t, c, fmt.Sprintf(refusalFor, ""))
		}
	})
	for _, id := range []string{"a", "b"} {
		_, err = get(t, p, unnamed, identified(id))
		require.NoError(t, err)
	}
	require.Equal(t, 3, *opened)
}

// The IDs of a connection's requests are remembered, so their number is bounded.
func TestConnectionEndsAfterManyRequests(t *testing.T) {
	address := serveEach(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for n := 0; readRequest(r) != ""; n++ {
			send(t, c, responseTo("/a", "one"))
		}
	})
	p, opened := newPool(t)
	for i := range 600 {
		req := request("/a")
		req.ID = fmt.Sprint(i)
		_, err := get(t, p, address, req)
		require.NoError(t, err)
	}
	require.Equal(t, 3, *opened)
}
