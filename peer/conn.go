package peer

import (
	"google.golang.org/grpc"

	"jaylink/peer/peerpb"
)

// maxMessage bounds one message between entries in bytes. It holds the largest
// request that the default limits allow, with 2 MiB of answer.
const maxMessage = 6 << 20

// serverOptions are those of the peer port.
func serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessage), grpc.ConnectionTimeout(handshakeTimeout)}
}

// callOptions are those of every call to a peer.
func callOptions() grpc.DialOption {
	return grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage))
}

// Register adds a service to the peer port. It must be called before Serve.
func (n *Node) Register(register func(grpc.ServiceRegistrar)) { register(n.server) }

// Conn returns the connection to a peer's address; it is shared and opened on
// demand.
func (n *Node) Conn(address string) (*grpc.ClientConn, error) { return n.conn(address) }

// Self describes this entry as peers see it.
func (n *Node) Self() *peerpb.Member { return n.self() }
