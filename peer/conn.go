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
	// maxReply bounds one reply in bytes; it holds a whole configuration.
	maxReply = 64 << 20
	// maxMessage bounds one message to the peer port in bytes. It holds the
	// largest request that the default limits allow, with some of its answer.
	maxMessage = 6 << 20
	// ioBuffer is the read and the write buffer of a connection in bytes;
	// an entry may have a connection with each of several hundred others.
	ioBuffer = 4 << 10
	// handshakeTimeout bounds how long a connection may take to begin.
	handshakeTimeout = 5 * time.Second
	// idleTimeout closes connections that are not used.
	idleTimeout = 10 * time.Minute
	// unackedTimeout is how long sent data may stay without acknowledgement
	// before the connection is given up.
	unackedTimeout = 5 * time.Second
	// reconnectDelay bounds the pause before a lost peer is dialled again.
	reconnectDelay = time.Second
)

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

// client returns a client of the peer at an address.
func (n *Node) client(address string) (peerpb.PeerClient, error) {
	conn, err := n.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// Conn returns the connection to a peer address. It is shared and stays open.
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

// dial opens a connection from the address that this entry is known by.
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

// sweep closes the connections to addresses that no remembered member has.
func (n *Node) sweep() {
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
