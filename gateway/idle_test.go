package gateway

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection is closed once it has been idle for the limit, but not while it has a
// request.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 15 * time.Second
		i := newIdleConns(func() time.Duration { return limit })
		server, client := net.Pipe()
		defer client.Close()
		closed := func() bool {
			require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Millisecond)))
			_, err := server.Read(make([]byte, 1))
			return !isTimeout(err)
		}
		i.track(server, http.StateNew)
		time.Sleep(2 * limit)
		i.track(server, http.StateIdle)
		time.Sleep(limit * 4 / 5)
		i.track(server, http.StateActive)
		time.Sleep(2 * limit)
		require.False(t, closed())
		i.track(server, http.StateIdle)
		time.Sleep(limit - time.Second)
		require.False(t, closed())
		time.Sleep(2 * time.Second)
		require.Error(t, server.SetReadDeadline(time.Now()))
		require.Empty(t, i.timers)
	})
}
