package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn counts the bytes that the system took for sending.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	sent    int64
	writing bool
	sealed  bool
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.sent += int64(n)
	return n, err
}

func (c *countedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writing = true
	return true
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// seal ends writing for good and reports whether more than the given number of
// bytes was, or is being, sent. The transport may still be about to write when
// a call is canceled, so looking at the count alone would prove nothing.
func (c *countedConn) seal(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.sent != before
}

func dialCounted(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// usedConns notes the connections that one call was given, and how many bytes
// each had sent before.
type usedConns struct {
	mu     sync.Mutex
	conns  []usedConn
	closed bool
}

type usedConn struct {
	conn   *countedConn
	before int64
}

func (u *usedConns) got(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		conn.seal(0)
		return
	}
	u.conns = append(u.conns, usedConn{conn: conn, before: conn.count()})
}

// given ends the call's use of its connections and reports whether any byte of
// the call may have been given to the upstream.
func (u *usedConns) given() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	out := false
	for _, c := range u.conns {
		out = c.conn.seal(c.before) || out
	}
	return out
}
