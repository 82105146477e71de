package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"jaylink/internal/socket"
)

// countedConn counts the bytes that the operating system accepted for sending. It
// shows whether an upstream may have received a part of a request.
type countedConn struct {
	net.Conn
	mu       sync.Mutex
	sent     int64
	disabled bool // Write fails from now on
	// writing is closed at the end of the call of Write that is in progress; nil if none is.
	writing chan struct{}
	// judging is held from the start of a call until the status of its response was checked.
	judging sync.Mutex
	// dropped is closed once the transport has closed the connection, and so will not use it.
	dropped  chan struct{}
	dropOnce sync.Once
}

// newCountedConn returns a connection without calls.
func newCountedConn(c net.Conn) *countedConn {
	return &countedConn{Conn: c, dropped: make(chan struct{})}
}

// Close implements net.Conn for the transport.
func (c *countedConn) Close() error {
	c.dropOnce.Do(func() { close(c.dropped) })
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.writing)
	c.writing = nil
	c.sent += int64(n)
	return n, err
}

// beginWrite marks the start of a write. It returns false if writing is disabled.
func (c *countedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disabled {
		return false
	}
	c.writing = make(chan struct{})
	return true
}

func (c *countedConn) sentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// disableWrites makes all later writes fail. It reports whether bytes beyond the
// given count were sent or are being sent. Reading the count alone would not be
// enough: when a call is canceled, the transport may still be about to write.
func (c *countedConn) disableWrites(sentBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disabled = true
	return c.writing != nil || c.sent != sentBefore
}

// sentInAll returns the number of bytes that were sent once no write is in progress, or that until
// ctx ends.
func (c *countedConn) sentInAll(ctx context.Context) int64 {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		select {
		case <-writing:
		case <-ctx.Done():
		}
	}
	return c.sentBytes()
}

// dialUpstream wraps a dial function for connections to upstreams. meter may be nil.
func dialUpstream(dial dialFunc, meter MeterFunc) dialFunc {
	return dialCounted(metered(dialChecked(dial), meter))
}

// dialChecked wraps a dial function so that reads of its connections find an end only where the
// upstream has closed the connection.
func dialChecked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return socket.Conn{Conn: conn}, nil
	}
}

// dialCounted wraps a dial function so that it returns a countedConn.
func dialCounted(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCountedConn(conn), nil
	}
}

// usedConns records the connections that the transport used for one call, and how
// many bytes each had sent before the call.
type usedConns struct {
	mu     sync.Mutex
	conns  []usedConn
	closed bool
}

type usedConn struct {
	conn       *countedConn
	sentBefore int64
}

// gotConn is the GotConn hook of an httptrace.ClientTrace.
func (u *usedConns) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		conn.disableWrites(0)
		return
	}
	u.conns = append(u.conns, usedConn{conn: conn, sentBefore: conn.sentBytes()})
}

// finish disables further writes to the connections of the call and reports whether
// any byte of the call may have been sent to the upstream.
func (u *usedConns) finish() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	sent := false
	for _, c := range u.conns {
		sent = c.conn.disableWrites(c.sentBefore) || sent
	}
	return sent
}

// wrote reports whether all bytes of a call were accepted for sending on its last connection, the
// one that has brought the response. It ends a write under way.
func (u *usedConns) wrote(ctx context.Context, bytes int64) bool {
	u.finish()
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.conns) == 0 {
		return false
	}
	last := u.conns[len(u.conns)-1]
	return last.conn.sentInAll(ctx)-last.sentBefore >= bytes
}
