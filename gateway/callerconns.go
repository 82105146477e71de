package gateway

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConns are the open connections of callers. It closes those that have been idle for
// longer than the active configuration allows, and in a planned stop those on which nothing
// is under way. http.Server does neither: its IdleTimeout must not be changed while it runs,
// and its Shutdown drops requests that have been received but not read.
type callerConns struct {
	// limit returns the longest idle time; 0 means no limit.
	limit func() time.Duration

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns(limit func() time.Duration) *callerConns {
	return &callerConns{limit: limit, open: map[*callerConn]struct{}{}}
}

// add returns the connection to use in place of c.
func (k *callerConns) add(c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, closed: k.remove}
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

// callerConn is a connection of a caller. It is in use from the first byte of a request,
// received or read, until the server has sent the answer.
type callerConn struct {
	net.Conn
	// closed is called once the connection has been closed.
	closed func(*callerConn)

	mu sync.Mutex
	// isRead is set once a byte has been read since the connection was opened or became idle.
	isRead   bool
	isClosed bool
	// idle closes the connection after its idle time; nil while it is not idle.
	idle *time.Timer
}

// Read implements net.Conn. It returns nothing once the connection has been closed, so that
// a request is never forwarded whose answer could not be sent.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	c.isRead = true
	return n, err
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
	if state != http.StateIdle {
		return
	}
	c.isRead = false
	if limit <= 0 || c.isClosed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(limit, func() { c.closeIdle(&timer) })
	c.idle = timer
}

// closeIdle closes the connection at the end of its idle time unless timer was stopped too
// late to keep it from ending.
func (c *callerConn) closeIdle(timer **time.Timer) {
	c.mu.Lock()
	isCurrent := c.idle == *timer
	c.mu.Unlock()
	if isCurrent {
		c.closeUnused()
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
	if !c.isClosed && (c.isRead || hasUnread(c.Conn)) {
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

// hasUnread reports whether the host has received bytes on a connection that have not been
// read. On a starved host they can wait for long.
func hasUnread(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		// An error means that nothing has been received.
		n, _, _ = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
