package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jaylink/internal/socket"
)

// callerConns are the open connections of callers. It closes those that have been idle for
// longer than the active configuration allows, and in a planned stop those on which nothing
// is under way. http.Server does neither: its IdleTimeout must not be changed while it runs,
// and its Shutdown drops requests that have been received but not read.
type callerConns struct {
	// limit returns the longest idle time; 0 means no limit.
	limit func() time.Duration
	// headTimeout is how long a request may lack a part of its head at the end of the idle time.
	headTimeout time.Duration

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns(limit func() time.Duration) *callerConns {
	return &callerConns{limit: limit, headTimeout: readHeaderTimeout, open: map[*callerConn]struct{}{}}
}

// add returns the connection to use in place of c.
func (k *callerConns) add(c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, closed: k.remove, headTimeout: k.headTimeout}
	if socket, ok := c.(syscall.Conn); ok {
		// An error means that the connection is closed; the server will notice.
		conn.raw, _ = socket.SyscallConn()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open[conn] = struct{}{}
	return conn
}

func (k *callerConns) remove(c *callerConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, c)
}

// track is the http.Server.ConnState hook.
func (k *callerConns) track(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*callerConn); ok {
		conn.enter(state, k.limit())
	}
}

// closeUnused closes all connections on which nothing is under way, and returns how many
// others there are.
func (k *callerConns) closeUnused() int {
	k.mu.Lock()
	var conns []*callerConn
	for c := range k.open {
		conns = append(conns, c)
	}
	k.mu.Unlock()
	left := 0
	for _, c := range conns {
		if !c.closeUnused() {
			left++
		}
	}
	return left
}

// callerConn is a connection of a caller. It is in use from the arrival of a request's first
// byte until the server has sent the answer.
type callerConn struct {
	net.Conn
	// raw is the connection's socket; nil if it has none.
	raw syscall.RawConn
	// closed is called once the connection has been closed.
	closed func(*callerConn)
	// headTimeout is that of callerConns.
	headTimeout time.Duration

	mu sync.Mutex
	// isRead is set before the first byte is read since the connection was opened or became
	// idle.
	isRead bool
	// wasAnswered is set from the end of an answer to the next read, which shows that the server
	// has no bytes of a further request left from earlier reads.
	wasAnswered bool
	isClosed    bool
	// idle closes the connection after its idle time; nil while it is not idle.
	idle *time.Timer
}

// Read implements net.Conn. The connection is in use before bytes leave the socket, where
// closeUnused looks for them: between the end of a read and the next line the process may have
// to wait for a processor. An unused connection that is closed is not read, so that no request
// is forwarded whose answer could not be sent.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.awaitArrival() && !c.use() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// awaitArrival waits for the first byte of a request, without reading it, and reports whether
// it has arrived. It does not wait if the connection is in use.
func (c *callerConn) awaitArrival() bool {
	if c.isInUse() || c.raw == nil {
		return false
	}
	hasArrived := false
	// The next read fails with the same error.
	_ = c.raw.Read(func(fd uintptr) bool {
		state := socket.Look(fd)
		hasArrived = state == socket.Unread
		return state != socket.Quiet
	})
	return hasArrived
}

// isInUse reports, before a read, whether the server has a request or a part of one.
func (c *callerConn) isInUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasAnswered {
		c.isRead, c.wasAnswered = false, false
	}
	return c.isRead
}

// use records that a request is being read, unless the connection has been closed.
func (c *callerConn) use() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRead = c.isRead || !c.isClosed
	return !c.isClosed
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.stopTimer()
	c.mu.Unlock()
	c.closed(c)
	return c.Conn.Close()
}

// callerConnKey is the key of the connection in the context of its requests.
type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext hook.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// resetOnClose makes the connection end with a reset instead of a close, also if the process is
// killed.
func (c *callerConn) resetOnClose(reset bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	// An error means that the connection is closed.
	_ = tcp.SetLinger(seconds)
}

// CloseWrite lets http.Server send the end of its answer before it closes the connection.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// enter records the state of the connection; limit is its longest idle time.
func (c *callerConn) enter(state http.ConnState, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopTimer()
	c.wasAnswered = state == http.StateIdle
	if state != http.StateIdle {
		return
	}
	if limit <= 0 || c.isClosed {
		return
	}
	c.arm(limit, c.closeIdle)
}

// arm has f called after a time unless the connection has entered another state by then. The
// caller holds mu.
func (c *callerConn) arm(after time.Duration, f func()) {
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		c.mu.Lock()
		isCurrent := c.idle == timer
		c.mu.Unlock()
		if isCurrent {
			f()
		}
	})
	c.idle = timer
}

// closeIdle closes the connection at the end of its idle time. The head of a request that has
// begun to arrive gets some more time.
func (c *callerConn) closeIdle() {
	if c.closeUnused() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		// An error of Close does not matter: the connection is not used again.
		c.arm(c.headTimeout, func() { _ = c.Close() })
	}
}

// stopTimer ends the idle time. The caller holds mu.
func (c *callerConn) stopTimer() {
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
}

// closeUnused closes the connection unless a request is under way on it, and reports
// whether it is closed.
func (c *callerConn) closeUnused() bool {
	c.mu.Lock()
	if !c.isClosed && (c.isRead || c.hasUnread()) {
		c.mu.Unlock()
		return false
	}
	c.isClosed = true
	c.stopTimer()
	c.mu.Unlock()
	c.closed(c)
	// The server notices the closed connection and forgets it.
	_ = c.Conn.Close()
	return true
}

// hasUnread reports whether the host has received bytes that have not been read. On a starved
// host they can wait for long.
func (c *callerConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	return socket.StateOf(c.raw) == socket.Unread
}
