package peer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"jaylink/peer/peerpb"
)

const (
	// maxReply is the maximum size of a reply in bytes. It has to be large enough
	// for a complete configuration.
	maxReply = 64 << 20
	// maxMessage is the maximum size of a message to the peer port in bytes. It
	// has to be large enough for the largest request that the default limits
	// allow, with a part of its answer.
	maxMessage = 6 << 20
	// ioBuffer is the size of the read buffer and of the write buffer of a
	// connection in bytes. It is small because an entry may have connections to
	// several hundred others.
	ioBuffer = 4 << 10
	// handshakeTimeout is the timeout for the handshakes of an incoming
	// connection.
	handshakeTimeout = 5 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 10 * time.Minute
	// unackedTimeout is the TCP user timeout: a connection is closed if sent data
	// remains unacknowledged for longer.
	unackedTimeout = 5 * time.Second
	// reconnectDelay is the maximum backoff between attempts to connect to a
	// peer.
	reconnectDelay = time.Second
)

// serverOptions returns the options of the gRPC server.
func serverOptions(opts Options) []grpc.ServerOption {
	out := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(ioBuffer),
		grpc.WriteBufferSize(ioBuffer),
		grpc.WaitForHandlers(true),
		grpc.UnaryInterceptor(recoverUnary(opts.Log)),
		grpc.StreamInterceptor(recoverStream(opts.Log)),
	}
	if opts.Credentials != nil {
		out = append(out, grpc.Creds(opts.Credentials.Server))
	}
	return out
}

// client returns a client for the peer at an address.
func (n *Node) client(address string) (peerpb.PeerClient, error) {
	conn, err := n.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// Conn returns the connection to a peer address. It is shared, so the caller must not
// close it.
func (n *Node) Conn(address string) (*grpc.ClientConn, error) {
	n.connsMu.Lock()
	defer n.connsMu.Unlock()
	if c := n.conns[address]; c != nil {
		return c, nil
	}
	creds := insecure.NewCredentials()
	if n.opts.Credentials != nil {
		creds = n.opts.Credentials.Client
	}
	delays := backoff.DefaultConfig
	delays.MaxDelay = reconnectDelay
	c, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(n.dial),
		grpc.WithReadBufferSize(ioBuffer),
		grpc.WithWriteBufferSize(ioBuffer),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: delays, MinConnectTimeout: probeTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReply)),
	)
	if err != nil {
		return nil, err
	}
	n.conns[address] = c
	return c, nil
}

// dial opens a connection with Options.Source as its source address, if that is set. It
// also sets the TCP user timeout and counts the traffic.
func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: setUserTimeout}
	if ip := net.ParseIP(n.opts.Source); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &n.traffic}, nil
}

// closeUnusedConns closes the connections to addresses that belong neither to a seed nor
// to a known member.
func (n *Node) closeUnusedConns() {
	known := map[string]bool{}
	for _, a := range n.opts.Seeds {
		known[a] = true
	}
	n.mu.Lock()
	for _, m := range n.core.Members() {
		known[m.Address] = true
	}
	n.mu.Unlock()
	n.connsMu.Lock()
	defer n.connsMu.Unlock()
	for address, c := range n.conns {
		if !known[address] {
			_ = c.Close()
			delete(n.conns, address)
		}
	}
}
