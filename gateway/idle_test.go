package gateway

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection is closed once it has been idle for the limit, and not while a
// request is on it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 15 * time.Second
		i := newIdleConns(func() time.Duration { return limit })
		ours, callers := net.Pipe()
		defer callers.Close()
		closed := func() bool {
			require.NoError(t, ours.SetReadDeadline(time.Now().Add(time.Millisecond)))
			_, err := ours.Read(make([]byte, 1))
			return !isTimeout(err)
		}
		i.track(ours, http.StateNew)
		time.Sleep(2 * limit)
		i.track(ours, http.StateIdle)
		time.Sleep(limit * 4 / 5)
		i.track(ours, http.StateActive)
		time.Sleep(2 * limit)
		require.False(t, closed())
		i.track(ours, http.StateIdle)
		time.Sleep(limit - time.Second)
		require.False(t, closed())
		time.Sleep(2 * time.Second)
		require.Error(t, ours.SetReadDeadline(time.Now()))
		require.Empty(t, i.timers)
	})
}
