package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections to upstreams.
const (
	dialTimeout = 500 * time.Millisecond
	// userTimeout bounds how long sent bytes may go unacknowledged.
	userTimeout = 1200 * time.Millisecond
	// probeIdle and probeInterval are those of TCP keep-alive probes.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// readBuffer is the buffer of a connection, in bytes.
	readBuffer = 4096
)

// conn is one connection to an upstream. At most one exchange uses it.
type conn struct {
	net.Conn
	r *bufio.Reader
	// bounded says that reads take from left, the bytes that may still be read.
	bounded bool
	left    int
	// idleSince is when its last exchange ended.
	idleSince time.Time
	// expires is when an idle connection is no longer used.
	expires time.Time
}

var dialer = &net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	},
}

func dial(ctx context.Context, address string) (*conn, error) {
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := &conn{Conn: c}
	bounded.r = bufio.NewReaderSize(bounded, readBuffer)
	return bounded, nil
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if !c.bounded {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// bound lets the next reads take so many bytes.
func (c *conn) bound(bytes int) { c.bounded, c.left = true, bytes }

// unbound lets reads take any number of bytes.
func (c *conn) unbound() { c.bounded = false }

// quiet reports whether an idle connection is open and has nothing to read.
// Anything that stands there belongs to no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
