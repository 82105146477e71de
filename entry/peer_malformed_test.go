package entry

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"jaylink/peer/peerpb"
)

// messageFill has the values with which a message's fields are filled.
type messageFill struct {
	name string
	// depth is the number of message levels that are filled; 0 leaves all
	// fields unset.
	depth  int
	text   string
	number uint64
}

var messageFills = []messageFill{
	{"nothing set", 0, "", 0},
	{"empty nested messages", 3, "", 0},
	{"garbage", 3, "\x00{[", math.MaxInt32},
	{"name of the entry itself", 3, "one", 1},
	{"ID of an unknown request", 3, "00112233445566778899aabbccddeeff.two", math.MaxUint64},
}

func (o messageFill) fill(m protoreflect.Message, depth int) {
	if depth == 0 {
		return
	}
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if fd.IsMap() {
			continue
		}
		if fd.IsList() {
			list := m.Mutable(fd).List()
			list.Append(o.value(fd, list.NewElement, depth))
			continue
		}
		m.Set(fd, o.value(fd, func() protoreflect.Value { return m.NewField(fd) }, depth))
	}
}

// value returns the fill value for a field.
func (o messageFill) value(fd protoreflect.FieldDescriptor, empty func() protoreflect.Value, depth int) protoreflect.Value {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		v := empty()
		o.fill(v.Message(), depth-1)
		return v
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(validUTF8(o.text))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(o.text))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(o.number > 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(o.number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(o.number)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(o.number))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(o.number))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(o.number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(o.number))
	}
	return empty()
}

// validUTF8 replaces invalid UTF-8, which a protobuf string can't contain.
func validUTF8(s string) string { return string([]rune(s)) }

// malformedCallTimeout ends calls that wait for an event that never occurs.
const malformedCallTimeout = 2 * time.Second

// Calls every method of every service of the peer port with missing and with
// unexpected field values. The entry must not crash or return an internal error,
// and must keep serving.
func TestEveryPeerCallTakesOddMessages(t *testing.T) {
	f := newFixture(t)
	conn, err := grpc.NewClient(f.settings.Listen.Peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer conn.Close()
	knownID := sendTo(t, "GET", "http://"+f.settings.Listen.Caller+"/orders/1", "", appDesk, accountC).Header.Get(HeaderRequestID)
	fills := append(slices.Clone(messageFills), messageFill{"ID of a known request", 3, knownID, math.MaxUint64})
	for service, info := range f.peers.Server().GetServiceInfo() {
		for _, method := range info.Methods {
			for _, fill := range fills {
				t.Run(method.Name+"/"+fill.name, func(t *testing.T) {
					err := callWithFill(t, conn, service, method, fill)
					require.NotEqual(t, codes.Internal, status.Code(err), "%v", err)
					_, err = peerpb.NewPeerClient(conn).Probe(t.Context(), &peerpb.ProbeMessage{From: member("two")})
					require.NoError(t, err)
				})
			}
		}
	}
	require.NotNil(t, f.config.get(customerKey))
	require.Equal(t, 200, sendTo(t, "GET", "http://"+f.settings.Listen.Caller+"/orders/1", "", appDesk, accountC).StatusCode)
}

func callWithFill(t *testing.T, conn *grpc.ClientConn, service string, method grpc.MethodInfo, fill messageFill) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), malformedCallTimeout)
	defer cancel()
	descriptor := findMethod(t, service, method.Name)
	req, reply := dynamicpb.NewMessage(descriptor.Input()), dynamicpb.NewMessage(descriptor.Output())
	fill.fill(req, fill.depth)
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: method.IsServerStream}, "/"+service+"/"+method.Name)
	require.NoError(t, err)
	require.NoError(t, stream.SendMsg(proto.Message(req)))
	require.NoError(t, stream.CloseSend())
	return stream.RecvMsg(reply)
}

func findMethod(t *testing.T, service, method string) protoreflect.MethodDescriptor {
	t.Helper()
	for _, file := range []protoreflect.FileDescriptor{peerpb.File_peer_peerpb_peer_proto, peerpb.File_peer_peerpb_handover_proto, peerpb.File_peer_peerpb_poison_proto} {
		services := file.Services()
		for i := range services.Len() {
			if s := services.Get(i); string(s.FullName()) == service {
				return s.Methods().ByName(protoreflect.Name(method))
			}
		}
	}
	t.Fatalf("service %s is not declared in the files that this test searches", service)
	return nil
}
