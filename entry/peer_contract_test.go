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

// malformedPeerCall is a call to the peer port with unexpected input, and the
// status code that it must return.
type malformedPeerCall struct {
	name   string
	method string
	req    func() proto.Message
	code   codes.Code
}

func member(name string) *peerpb.Member {
	return &peerpb.Member{Name: name, Address: "127.0.0.1:1", AvailabilityZone: "b", Region: "r", Incarnation: 1}
}

const (
	probeMethod = peerpb.Peer_Probe_FullMethodName
	pushMethod  = peerpb.Peer_Push_FullMethodName
	syncMethod  = peerpb.Peer_Sync_FullMethodName
	pullMethod  = peerpb.Peer_Pull_FullMethodName
)

func pushedObjects(objects ...string) func() proto.Message {
	return func() proto.Message {
		d := &peerpb.Delta{Revision: 1000, After: 0}
		for _, o := range objects {
			d.Objects = append(d.Objects, []byte(o))
		}
		return &peerpb.News{From: "two", Delta: d}
	}
}

// probeOfNewerVersion returns a probe with fields that this version does not
// know.
func probeOfNewerVersion() proto.Message {
	req := &peerpb.ProbeMessage{From: member("newer")}
	field := protowire.AppendTag(nil, 500, protowire.BytesType)
	field = protowire.AppendString(field, "from a newer version")
	req.ProtoReflect().SetUnknown(field)
	req.From.ProtoReflect().SetUnknown(field)
	return req
}

func oversizedProbe() proto.Message {
	return &peerpb.ProbeMessage{From: member(strings.Repeat("x", 8<<20))}
}

var malformedPeerCalls = []malformedPeerCall{
	{"unknown RPC", "/jaylink.peer.v1.Peer/FromTheFuture", probeOfNewerVersion, codes.Unimplemented},
	{"unknown service", "/jaylink.peer.v9.Peer/Probe", probeOfNewerVersion, codes.Unimplemented},
	{"unknown fields", probeMethod, probeOfNewerVersion, codes.OK},
	{"empty probe", probeMethod, func() proto.Message { return &peerpb.ProbeMessage{} }, codes.OK},
	{"empty push", pushMethod, func() proto.Message { return &peerpb.News{} }, codes.OK},
	{"empty member table", syncMethod, func() proto.Message { return &peerpb.MemberTable{} }, codes.OK},
	{"members without a name", syncMethod, func() proto.Message {
		return &peerpb.MemberTable{Members: []*peerpb.Member{{}, nil}}
	}, codes.OK},
	{"empty pull", pullMethod, func() proto.Message { return &peerpb.PullRequest{} }, codes.OK},
	{"object that is not JSON", pushMethod, pushedObjects("{"), codes.OK},
	{"null object", pushMethod, pushedObjects("null"), codes.OK},
	{"unknown kind", pushMethod, pushedObjects(`{"kind":"Nope","name":"x","version":999}`), codes.OK},
	{"object with fields of a newer version", pushMethod, pushedObjects(`{"kind":"Customer","name":"n","version":998,"later":1,"spec":{"selector":"account=n","later":2}}`), codes.OK},
	{"sign of an unknown source", pushMethod, func() proto.Message {
		return &peerpb.News{Signs: []*peerpb.Sign{{Host: "h", Source: "later", ValidMs: 1000}, {}, nil}}
	}, codes.OK},
	{"message over the limit", probeMethod, oversizedProbe, codes.ResourceExhausted},
}

// The peer port rejects or ignores unexpected input. The configuration does not
// change and the port keeps serving.
func TestPeerPortTakesOddInput(t *testing.T) {
	f := newFixture(t)
	conn, err := grpc.NewClient(f.settings.Listen.Peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer conn.Close()
	before := f.config.get(customerKey)
	for _, c := range malformedPeerCalls {
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
	case pushMethod:
		return &peerpb.PushReply{}
	case syncMethod:
		return &peerpb.MemberTable{}
	case pullMethod:
		return &peerpb.News{}
	}
	return &peerpb.ProbeMessage{}
}

// An object of a kind that only newer versions know does not prevent the other
// objects in the same message from being merged.
func TestObjectsBesideAnUnknownKindAreTaken(t *testing.T) {
	f := newFixture(t)
	conn, err := grpc.NewClient(f.settings.Listen.Peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer conn.Close()
	req := pushedObjects(
		`{"kind":"FromTheFuture","name":"x","version":997,"spec":{"a":1}}`,
		`{"kind":"Customer","name":"beside","version":998,"spec":{"selector":"account=beside"}}`,
	)()
	require.NoError(t, conn.Invoke(t.Context(), pushMethod, req, &peerpb.PushReply{}))
	require.NotNil(t, f.config.get(api.Key{Kind: api.KindCustomer, Name: "beside"}))
}

// Bytes that are not HTTP/2 on one connection do not affect other connections.
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

// A reply with fields that this version does not know is decoded.
func TestReplyOfANewerPeerIsRead(t *testing.T) {
	reply := &peerpb.ProbeMessage{From: member("newer")}
	reply.ProtoReflect().SetUnknown(probeOfNewerVersion().ProtoReflect().GetUnknown())
	data, err := proto.Marshal(reply)
	require.NoError(t, err)
	var read peerpb.ProbeMessage
	require.NoError(t, proto.Unmarshal(data, &read))
	require.Equal(t, "newer", read.GetFrom().GetName())
}
