package peer

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes of all connections with peers, including TLS but not TCP/IP
// headers.
type traffic struct {
	sent, received atomic.Int64
}

// Traffic returns the numbers of bytes sent to and received from peers.
func (n *Node) Traffic() (sent, received int64) {
	return n.traffic.sent.Load(), n.traffic.received.Load()
}

// countedConn counts the bytes that it reads and writes.
type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.sent.Add(int64(n))
	return n, err
}

// countedListener wraps the connections that it accepts in countedConn.
type countedListener struct {
	net.Listener
	t *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.t}, nil
}
