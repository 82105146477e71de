package exchange

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A connection that has carried a long request has its user timeout again for the next short one.
func TestUserTimeoutStaysAwayAfterALongRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := dial(t.Context(), l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Equal(t, userTimeout, userTimeoutOf(t, c))
	for _, allowed := range []bool{true, true, false, false, true} {
		require.NoError(t, c.allowFullWindow(allowed))
		want := userTimeout
		if allowed {
			want = 0
		}
		require.Equal(t, want, userTimeoutOf(t, c))
	}
}

func userTimeoutOf(t *testing.T, c *conn) time.Duration {
	t.Helper()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var millis int
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		millis, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, optErr)
	return time.Duration(millis) * time.Millisecond
}
