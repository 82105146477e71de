package upstream

import (
	"context"
	"net"
)

// Counter counts bytes.
type Counter interface{ Inc(n int64) }

// Traffic counts the bytes of connections, including the overhead of protocols above
// TCP.
type Traffic struct {
	Sent     Counter
	Received Counter
}

// MeterFunc returns the counters for connections to an address, or nil if they are
// not counted.
type MeterFunc func(address string) *Traffic

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// metered returns a dial function that counts the traffic of its connections.
func metered(dial dialFunc, meter MeterFunc) dialFunc {
	if meter == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if traffic := meter(address); traffic != nil {
			return &meteredConn{Conn: conn, traffic: traffic}, nil
		}
		return conn, nil
	}
}

// meteredConn counts the bytes that it reads and writes.
type meteredConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Inc(int64(n))
	return n, err
}
