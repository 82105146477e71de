package exchange_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausedFor is longer than the time after which unacknowledged bytes end a connection.
const pausedFor = 2 * time.Second

// A process that is stopped for some seconds in the middle of a long request does not read, and its
// host goes on acknowledging bytes. The connection must not be given up.
func TestLongRequestOfAPausedUpstreamIsGivenUp(t *testing.T) {
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader, _ int) {
		_, err := r.Peek(1)
		require.NoError(t, err)
		<-time.After(pausedFor)
		path := readRequest(r)
		send(t, c, responseTo(path, "one"))
	})
	p, _ := newPool(t)
	req := request("/a")
	req.Body = make([]byte, 4<<20)
	a, err := p.Do(t.Context(), address, req)
	require.NoError(t, err)
	defer a.Close()
	body, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "one", string(body))
}
