package entry

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"jaylink/api"
	"jaylink/peer/peerpb"
)

var customerKey = api.Key{Kind: api.KindCustomer, Name: "c"}

// peerFault is one kind of odd input on the peer port.
type peerFault struct {
	name   string
	method string // default: Exchange
	req    func() *peerpb.ExchangeRequest
	code   codes.Code
}

func member(name string) *peerpb.Member {
	return &peerpb.Member{Name: name, Address: "127.0.0.1:1", AvailabilityZone: "b", Region: "r", Incarnation: 1}
}

func exchange(objects ...string) func() *peerpb.ExchangeRequest {
	return func() *peerpb.ExchangeRequest {
		d := &peerpb.Delta{Revision: 1000, After: 0}
		for _, o := range objects {
			d.Objects = append(d.Objects, []byte(o))
		}
		return &peerpb.ExchangeRequest{Self: member("two"), Delta: d}
	}
}

// newer returns a request with a field that this version does not know.
func newer() *peerpb.ExchangeRequest {
	req := &peerpb.ExchangeRequest{Self: member("newer")}
	field := protowire.AppendTag(nil, 500, protowire.BytesType)
	field = protowire.AppendString(field, "from a newer version")
	req.ProtoReflect().SetUnknown(field)
	req.Self.ProtoReflect().SetUnknown(field)
	return req
}

var peerFaults = []peerFault{
	{"unknown RPC", "/jaylink.peer.v1.Peer/FromTheFuture", newer, codes.Unimplemented},
	{"unknown service", "/jaylink.peer.v9.Peer/Exchange", newer, codes.Unimplemented},
	{"unknown fields", "", newer, codes.OK},
	{"empty request", "", func() *peerpb.ExchangeRequest { return &peerpb.ExchangeRequest{} }, codes.OK},
	{"object that is not JSON", "", exchange("{"), codes.OK},
	{"null object", "", exchange("null"), codes.OK},
	{"unknown kind", "", exchange(`{"kind":"Nope","name":"x","version":999}`), codes.OK},
	{"object with fields of a newer version", "", exchange(`{"kind":"Customer","name":"n","version":998,"later":1,"spec":{"selector":"account=n","later":2}}`), codes.OK},
	{"message over the limit", "", func() *peerpb.ExchangeRequest {
		return &peerpb.ExchangeRequest{Self: member(strings.Repeat("x", 8<<20))}
	}, codes.ResourceExhausted},
}

// Odd input on the peer port is refused or passed over; the configuration in
// force stays and the port serves on.
func TestPeerPortTakesOddInput(t *testing.T) {
	f := newFixture(t)
	conn, err := grpc.NewClient(f.settings.Listen.Peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer conn.Close()
	before := f.config.get(customerKey)
	for _, c := range peerFaults {
		t.Run(c.name, func(t *testing.T) {
			method := c.method
			if method == "" {
				method = peerpb.Peer_Exchange_FullMethodName
			}
			err := conn.Invoke(t.Context(), method, c.req(), &peerpb.ExchangeReply{})
			require.Equal(t, c.code, status.Code(err), "%v", err)
			require.Equal(t, before, f.config.get(customerKey))
			reply, err := peerpb.NewPeerClient(conn).Exchange(t.Context(), &peerpb.ExchangeRequest{Self: member("two")})
			require.NoError(t, err)
			require.Equal(t, "one", reply.GetSelf().GetName())
		})
	}
}

// Bytes that are not HTTP/2 disturb no other connection.
func TestPeerPortTakesBytesThatAreNotHTTP2(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.settings.Listen.Peer)
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	defer conn.Close()
	client, err := grpc.NewClient(f.settings.Listen.Peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer client.Close()
	_, err = peerpb.NewPeerClient(client).Exchange(t.Context(), &peerpb.ExchangeRequest{Self: member("two")})
	require.NoError(t, err)
}

// A reply with fields that this version does not know is read without them.
func TestReplyOfANewerPeerIsRead(t *testing.T) {
	reply := &peerpb.ExchangeReply{Self: member("newer")}
	reply.ProtoReflect().SetUnknown(newer().ProtoReflect().GetUnknown())
	data, err := proto.Marshal(reply)
	require.NoError(t, err)
	var read peerpb.ExchangeReply
	require.NoError(t, proto.Unmarshal(data, &read))
	require.Equal(t, "newer", read.GetSelf().GetName())
}
