package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// Timeouts and sizes of connections to upstreams.
const (
	dialTimeout = 500 * time.Millisecond
	// userTimeout is the TCP user timeout: the maximum time that sent bytes may
	// remain unacknowledged.
	userTimeout = 1200 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4096
	// maxExchanges is the number of requests on a connection, whose IDs are remembered.
	maxExchanges = 256
)

// conn is one connection to an upstream. At most one exchange uses it at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// limited is true if reads are limited to remaining more bytes.
	limited   bool
	remaining int
	// ids are the hashed IDs of the requests that were sent.
	ids []uint64
	// idleSince is the end of the last exchange.
	idleSince time.Time
	// expires is the time after which the idle connection must not be used.
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
	out := &conn{Conn: c}
	out.r = bufio.NewReaderSize(out, readBuffer)
	return out, nil
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(p)
	}
	if c.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

// limitReads limits the next reads to a total number of bytes.
func (c *conn) limitReads(bytes int) { c.limited, c.remaining = true, bytes }

// unlimitReads removes the limit of limitReads.
func (c *conn) unlimitReads() { c.limited = false }

// addID remembers the ID of a request that is about to be sent.
func (c *conn) addID(id string) { c.ids = append(c.ids, xxhash.Sum64String(id)) }

// hasCarried reports whether a request with the same ID was sent on the connection.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.ids, xxhash.Sum64String(id))
}

// isWornOut reports whether the connection has carried as many requests as it may.
func (c *conn) isWornOut() bool { return len(c.ids) >= maxExchanges }

// isClean reports whether an idle connection is open and has no unread data. Unread
// data would belong to no request.
func (c *conn) isClean() bool {
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
