package socket_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/socket"
)

// pair returns both ends of a loopback connection.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	b, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

func rawOf(t *testing.T, c net.Conn) syscall.RawConn {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	return raw
}

// await returns the first state that is not quiet.
func await(t *testing.T, c net.Conn) socket.State {
	t.Helper()
	state := socket.Quiet
	require.NoError(t, rawOf(t, c).Read(func(fd uintptr) bool {
		state = socket.Look(fd)
		return state != socket.Quiet
	}))
	return state
}

// Looking takes nothing from a connection.
func TestLookTakesBytes(t *testing.T) {
	a, b := pair(t)
	require.Equal(t, socket.Quiet, socket.StateOf(rawOf(t, b)))
	_, err := a.Write([]byte("x"))
	require.NoError(t, err)
	require.Equal(t, socket.Unread, await(t, b))
	require.Equal(t, socket.Unread, socket.StateOf(rawOf(t, b)))
	var data [1]byte
	_, err = b.Read(data[:])
	require.NoError(t, err)
	require.Equal(t, "x", string(data[:]))
	require.Equal(t, socket.Quiet, socket.StateOf(rawOf(t, b)))
}

// The end of a connection, a reset and a connection that is closed here are no quiet ones.
func TestEndedConnectionIsQuiet(t *testing.T) {
	for name, end := range map[string]func(a, b net.Conn) error{
		"closed": func(a, _ net.Conn) error { return a.Close() },
		"reset": func(a, _ net.Conn) error {
			if err := a.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return a.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			require.NoError(t, end(a, b))
			require.Equal(t, socket.Closed, await(t, b))
			require.Equal(t, socket.Closed, socket.StateOf(rawOf(t, b)))
		})
	}
	_, b := pair(t)
	raw := rawOf(t, b)
	require.NoError(t, b.Close())
	require.Equal(t, socket.Closed, socket.StateOf(raw))
}
