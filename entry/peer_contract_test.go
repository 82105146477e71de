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
	method string
	req    func() proto.Message
	code   codes.Code
}

func member(name string) *peerpb.Member {
	return &peerpb.Member{Name: name, Address: "127.0.0.1:1", AvailabilityZone: "b", Region: "r", Incarnation: 1}
}

const (
	probe = peerpb.Peer_Probe_FullMethodName
	push  = peerpb.Peer_Push_FullMethodName
	table = peerpb.Peer_Sync_FullMethodName
	pull  = peerpb.Peer_Pull_FullMethodName
)

func news(objects ...string) func() proto.Message {
	return func() proto.Message {
		d := &peerpb.Delta{Revision: 1000, After: 0}
		for _, o := range objects {
			d.Objects = append(d.Objects, []byte(o))
		}
		return &peerpb.News{From: "two", Delta: d}
	}
}

// newer returns a request with a field that this version does not know.
func newer() proto.Message {
	req := &peerpb.ProbeMessage{From: member("newer")}
	field := protowire.AppendTag(nil, 500, protowire.BytesType)
	field = protowire.AppendString(field, "from a newer version")
	req.ProtoReflect().SetUnknown(field)
	req.From.ProtoReflect().SetUnknown(field)
	return req
}

func hugeProbe() proto.Message {
	return &peerpb.ProbeMessage{From: member(strings.Repeat("x", 8<<20))}
}

var peerFaults = []peerFault{
	{"unknown RPC", "/jaylink.peer.v1.Peer/FromTheFuture", newer, codes.Unimplemented},
	{"unknown service", "/jaylink.peer.v9.Peer/Probe", newer, codes.Unimplemented},
	{"unknown fields", probe, newer, codes.OK},
	{"empty probe", probe, func() proto.Message { return &peerpb.ProbeMessage{} }, codes.OK},
	{"empty push", push, func() proto.Message { return &peerpb.News{} }, codes.OK},
	{"empty table", table, func() proto.Message { return &peerpb.MemberTable{} }, codes.OK},
	{"nameless members", table, func() proto.Message {
		return &peerpb.MemberTable{Members: []*peerpb.Member{{}, nil}}
	}, codes.OK},
	{"empty pull", pull, func() proto.Message { return &peerpb.PullRequest{} }, codes.OK},
	{"object that is not JSON", push, news("{"), codes.OK},
	{"null object", push, news("null"), codes.OK},
	{"unknown kind", push, news(`{"kind":"Nope","name":"x","version":999}`), codes.OK},
	{"object with fields of a newer version", push, news(`{"kind":"Customer","name":"n","version":998,"later":1,"spec":{"selector":"account=n","later":2}}`), codes.OK},
	{"sign of an unknown source", push, func() proto.Message {
		return &peerpb.News{Signs: []*peerpb.Sign{{Host: "h", Source: "later", ValidMs: 1000}, {}, nil}}
	}, codes.OK},
	{"message over the limit", probe, hugeProbe, codes.ResourceExhausted},
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
			err := conn.Invoke(t.Context(), c.method, c.req(), replyOf(c.method))
			require.Equal(t, c.code, status.Code(err), "%v", err)
			require.Equal(t, before, f.config.get(customerKey))
			reply, err := peerpb.NewPeerClient(conn).Probe(t.Context(), &peerpb.ProbeMessage{From: member("two")})
			require.NoError(t, err)
			require.Equal(t, "one", reply.GetFrom().GetName())
		})
	}
}

func replyOf(method string) proto.Message {
	switch method {
	case push:
		return &peerpb.PushReply{}
	case table:
		return &peerpb.MemberTable{}
	case pull:
		return &peerpb.News{}
	}
	return &peerpb.ProbeMessage{}
}

// An object of a kind that only newer versions know does not keep the others
// of the same message from being taken.
func TestObjectsBesideAnUnknownKindAreTaken(t *testing.T) {
	f := newFixture(t)
	conn, err := grpc.NewClient(f.settings.Listen.Peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer conn.Close()
	req := news(
		`{"kind":"FromTheFuture","name":"x","version":997,"spec":{"a":1}}`,
		`{"kind":"Customer","name":"beside","version":998,"spec":{"selector":"account=beside"}}`,
	)()
	require.NoError(t, conn.Invoke(t.Context(), push, req, &peerpb.PushReply{}))
	require.NotNil(t, f.config.get(api.Key{Kind: api.KindCustomer, Name: "beside"}))
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
	_, err = peerpb.NewPeerClient(client).Probe(t.Context(), &peerpb.ProbeMessage{From: member("two")})
	require.NoError(t, err)
}

// A reply with fields that this version does not know is read without them.
func TestReplyOfANewerPeerIsRead(t *testing.T) {
	reply := &peerpb.ProbeMessage{From: member("newer")}
	reply.ProtoReflect().SetUnknown(newer().ProtoReflect().GetUnknown())
	data, err := proto.Marshal(reply)
	require.NoError(t, err)
	var read peerpb.ProbeMessage
	require.NoError(t, proto.Unmarshal(data, &read))
	require.Equal(t, "newer", read.GetFrom().GetName())
}
