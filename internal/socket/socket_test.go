package socket_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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

// reset closes a connection with a reset.
func reset(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.Close())
}

// The end of a connection, a reset and a connection that is closed here are no quiet ones.
func TestEndedConnectionIsQuiet(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, c net.Conn){
		"closed": func(t *testing.T, c net.Conn) { require.NoError(t, c.Close()) },
		"reset":  reset,
	} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			end(t, a)
			require.Equal(t, socket.Closed, await(t, b))
			require.Equal(t, socket.Closed, socket.StateOf(rawOf(t, b)))
		})
	}
	_, b := pair(t)
	raw := rawOf(t, b)
	require.NoError(t, b.Close())
	require.Equal(t, socket.Closed, socket.StateOf(raw))
}

// readAll reads a connection to its end with socket.Read, and returns its bytes and error.
func readAll(c net.Conn) (string, error) {
	data, err := io.ReadAll(socket.Conn{Conn: c})
	return string(data), err
}

// awaitEnd waits until nothing more can arrive on a connection.
func awaitEnd(t *testing.T, c net.Conn, broken bool) {
	t.Helper()
	want := int16(unix.POLLRDHUP)
	if broken {
		want = unix.POLLHUP
	}
	require.NoError(t, rawOf(t, c).Read(func(fd uintptr) bool {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(fds, 0)
		return err == nil && fds[0].Revents&want != 0
	}))
}

// A look at a connection that is being read takes the report of a reset, so that the next read finds
// a proper end.
func TestLookDuringAReadTakesTheReportOfAReset(t *testing.T) {
	for name, data := range map[string]string{"nothing unread": "", "unread data": "data"} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			require.False(t, socket.HasArrived(b.(syscall.Conn)))
			_, err := io.WriteString(a, data)
			require.NoError(t, err)
			reset(t, a)
			awaitEnd(t, b, true)
			for range 3 {
				require.True(t, socket.HasArrived(b.(syscall.Conn)))
			}
			got, err := io.ReadAll(b)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Equal(t, data, string(got))
		})
	}
}

// Data, the end of a connection and a connection that is closed here have arrived.
func TestWhatHasArrivedIsNotSeen(t *testing.T) {
	a, b := pair(t)
	_, err := io.WriteString(a, "x")
	require.NoError(t, err)
	require.Equal(t, socket.Unread, await(t, b))
	require.True(t, socket.HasArrived(b.(syscall.Conn)))
	_, err = b.Read(make([]byte, 1))
	require.NoError(t, err)
	require.False(t, socket.HasArrived(b.(syscall.Conn)))
	require.NoError(t, a.Close())
	require.Equal(t, socket.Closed, await(t, b))
	require.True(t, socket.HasArrived(b.(syscall.Conn)))
	require.NoError(t, b.Close())
	require.True(t, socket.HasArrived(b.(syscall.Conn)))
}

// timeOut has b's connection end because its bytes are not read at a, which acknowledges them.
func timeOut(t *testing.T, a, b net.Conn) {
	t.Helper()
	require.NoError(t, a.(*net.TCPConn).SetReadBuffer(smallBuffer))
	require.NoError(t, b.(*net.TCPConn).SetWriteBuffer(smallBuffer))
	for err := error(nil); err == nil; {
		require.NoError(t, b.SetWriteDeadline(time.Now().Add(blockedTime)))
		_, err = b.Write(make([]byte, smallBuffer))
	}
	var err error
	require.NoError(t, rawOf(t, b).Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 1)
	}))
	require.NoError(t, err)
	awaitEnd(t, b, true)
}

const (
	smallBuffer = 4 << 10
	// blockedTime is after how long a write counts as blocked.
	blockedTime = 200 * time.Millisecond
)

// A connection times out, and the end that is found after something else has got the report of that
// counts as the peer's.
func TestEndOfATimedOutConnectionCountsAsThePeers(t *testing.T) {
	for name, taken := range map[string]bool{"reported to the read": false, "reported to a look": true} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			timeOut(t, a, b)
			require.True(t, socket.HasArrived(b.(syscall.Conn)))
			want := error(syscall.ETIMEDOUT)
			if taken {
				require.Equal(t, socket.Closed, socket.StateOf(rawOf(t, b)))
				want = socket.ErrEndUnknown
			}
			_, err := readAll(b)
			require.ErrorIs(t, err, want)
		})
	}
}

// Something else has got the report of a reset, and the end that a read finds then counts as the
// peer's.
func TestEndOfABrokenConnectionCountsAsThePeers(t *testing.T) {
	for name, take := range map[string]func(t *testing.T, c net.Conn){
		"a write": func(t *testing.T, c net.Conn) {
			_, err := io.WriteString(c, "x")
			require.ErrorIs(t, err, syscall.ECONNRESET)
		},
		"a read": func(t *testing.T, c net.Conn) {
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		},
		"a look": func(t *testing.T, c net.Conn) {
			require.Equal(t, socket.Closed, socket.StateOf(rawOf(t, c)))
		},
		"a query of the socket's error": func(t *testing.T, c net.Conn) {
			var errno int
			var err error
			require.NoError(t, rawOf(t, c).Control(func(fd uintptr) {
				errno, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
			}))
			require.NoError(t, err)
			require.Equal(t, int(syscall.ECONNRESET), errno)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			reset(t, a)
			awaitEnd(t, b, true)
			take(t, b)
			_, err := readAll(b)
			require.ErrorIs(t, err, socket.ErrEndUnknown)
		})
	}
}

// The peer has closed the connection properly, but its end is taken for that of a broken one. It may
// have reset the connection afterwards, because it has not read all that was sent to it.
func TestProperEndIsTakenForABrokenOne(t *testing.T) {
	const data = "data"
	for name, end := range map[string]func(t *testing.T, a, b net.Conn){
		"closed":      func(t *testing.T, a, _ net.Conn) { require.NoError(t, a.Close()) },
		"half closed": func(t *testing.T, a, _ net.Conn) { require.NoError(t, a.(*net.TCPConn).CloseWrite()) },
		"half closed, then reset": func(t *testing.T, a, b net.Conn) {
			require.NoError(t, a.(*net.TCPConn).CloseWrite())
			awaitEnd(t, b, false)
			reset(t, a)
			awaitEnd(t, b, true)
		},
		"half closed, then closed without reading": func(t *testing.T, a, b net.Conn) {
			require.NoError(t, a.(*net.TCPConn).CloseWrite())
			awaitEnd(t, b, false)
			_, err := io.WriteString(b, "unread")
			require.NoError(t, err)
			require.Equal(t, socket.Unread, await(t, a))
			require.NoError(t, a.Close())
			awaitEnd(t, b, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			_, err := io.WriteString(a, data)
			require.NoError(t, err)
			end(t, a, b)
			got, err := readAll(b)
			require.NoError(t, err)
			require.Equal(t, data, got)
		})
	}
}

// A connection that is closed here while it is read has no end of its peer.
func TestConnectionThatIsClosedHereEndsProperly(t *testing.T) {
	_, b := pair(t)
	require.NoError(t, b.Close())
	_, err := readAll(b)
	require.ErrorIs(t, err, net.ErrClosed)
}
