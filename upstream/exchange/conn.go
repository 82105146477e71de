package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"jaylink/internal/socket"
)

// Timeouts and sizes of connections to upstreams.
const (
	// dialTimeout limits the time to connect, and keptCallTimeout a call of AskKept. They are
	// counted in steps of timeoutStep, because time also passes while this process does not run,
	// and the kernel goes on meanwhile.
	dialTimeout     = 500 * time.Millisecond
	keptCallTimeout = 900 * time.Millisecond
	timeoutStep     = 50 * time.Millisecond
	// userTimeout is the TCP user timeout: the maximum time that sent bytes may
	// remain unacknowledged, or that a full receive buffer may hold back the next ones.
	userTimeout = 1200 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// catchUpTime is how long a read may take longer for what had arrived by its deadline.
	catchUpTime = 100 * time.Millisecond
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
	// hasNoUserTimeout is set while there is no TCP user timeout.
	hasNoUserTimeout bool
	// onSilence, if set, is asked when nothing has arrived by the read deadline. hasWaited is
	// set once it has been put off for what had arrived.
	onSilence Silence
	hasWaited bool
	// ids are the hashed IDs of the requests that were sent.
	ids []uint64
	// opened is when the connection was established, and idleSince the end of the last exchange.
	opened    time.Time
	idleSince time.Time
	// expires is the time after which the idle connection must not be used.
	expires time.Time
}

var dialer = &net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	},
	Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
}

// setUserTimeout sets the TCP user timeout of a socket; 0 means none.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// allowFullWindow removes the user timeout for a request that may not fit into the upstream's
// receive buffer, or sets it again. The kernel applies it to an upstream that acknowledges all
// bytes and does not read, such as a paused process.
func (c *conn) allowFullWindow(allowed bool) error {
	if c.hasNoUserTimeout == allowed {
		return nil
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	timeout := userTimeout
	if allowed {
		timeout = 0
	}
	c.hasNoUserTimeout = allowed
	return setUserTimeout(raw, timeout)
}

func dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := withSteppedTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(context.Cause(ctx), errTimeout) {
			err = fmt.Errorf("dial tcp %s: %w", address, errTimeout)
		}
		return nil, err
	}
	out := &conn{Conn: c, opened: time.Now()}
	out.r = bufio.NewReaderSize(out, readBuffer)
	return out, nil
}

// errTimeout is the cause of a context that has ended at its timeout.
var errTimeout = errors.New("timeout")

// withSteppedTimeout is context.WithTimeout for a timeout that is counted in steps.
func withSteppedTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := afterSteps(int(timeout/timeoutStep), timeoutStep, func() { cancel(errTimeout) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// afterSteps calls f after a number of steps, unless stop is called before. A step of which this
// process has missed a part counts as one.
func afterSteps(steps int, step time.Duration, f func()) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(step, func() {
		mu.Lock()
		defer mu.Unlock()
		if steps--; stopped {
			return
		}
		if steps > 0 {
			timer.Reset(step)
			return
		}
		f()
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.readOn(p)
	}
	if c.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.readOn(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

// readOn reads, and goes on after the read deadline as long as onSilence wants.
func (c *conn) readOn(p []byte) (int, error) {
	for {
		n, err := socket.Read(c.Conn, p)
		if errors.Is(err, socket.ErrEndUnknown) {
			err = fmt.Errorf("%w: %w", ErrUnconfirmedEnd, err)
		}
		if n > 0 || c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := c.afterDeadline()
		if wait <= 0 {
			return n, err
		}
		// An error means that the connection is closed; the next read then fails.
		_ = c.SetReadDeadline(time.Now().Add(wait))
	}
}

// afterDeadline returns how much longer to wait after a read deadline. If this process has
// been held up, what came in time is still to be read: bytes, the end or a reset.
func (c *conn) afterDeadline() time.Duration {
	if !c.hasWaited && c.hasArrived() {
		c.hasWaited = true
		return catchUpTime
	}
	return c.onSilence()
}

// expect sets the deadline by which something has to arrive, or no deadline if it is zero.
func (c *conn) expect(deadline time.Time, onSilence Silence) {
	c.onSilence, c.hasWaited = onSilence, false
	// An error means that the connection is closed; the next read then fails.
	_ = c.SetReadDeadline(deadline)
}

// abort closes the connection in the middle of an exchange, with a reset. An upstream that only
// writes notices that with its next write, and proxies that keep half-closed connections pass it
// on; after an ordinary close both may go on with the request.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	// The connection is not used again, so the error of Close does not matter.
	_ = c.Close()
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
func (c *conn) isClean() bool { return c.r.Buffered() == 0 && c.state() == socket.Quiet }

// hasArrived reports whether the next read has something to return. Unlike state, it leaves the
// report of a reset to that read.
func (c *conn) hasArrived() bool {
	sc, ok := c.Conn.(syscall.Conn)
	return ok && socket.HasArrived(sc)
}

// state returns the state of the connection's socket while no answer is read from it.
func (c *conn) state() socket.State {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return socket.Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socket.Closed
	}
	return socket.StateOf(raw)
}
