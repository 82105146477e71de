package peer

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Connections to peers have the TCP user timeout, so that the operating system closes
// them when sent data remains unacknowledged.
func TestConnectionsHaveAUserTimeout(t *testing.T) {
	a := startNode(t, "a", "z1")
	defer a.Close()
	conn, err := a.dial(t.Context(), a.address())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(countedConn).Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var ms int
	require.NoError(t, raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, int(unackedTimeout.Milliseconds()), ms)
}
