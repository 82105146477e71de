package peer

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestPanicOfAHandlerEndsOnlyItsCall(t *testing.T) {
	var b bytes.Buffer
	log := slog.New(slog.NewTextHandler(&b, nil))
	unary := recoverUnary(log)
	_, err := unary(t.Context(), nil, &grpc.UnaryServerInfo{FullMethod: "/x/Y"}, func(context.Context, any) (any, error) { panic("boom") })
	require.Equal(t, codes.Internal, status.Code(err))
	require.Contains(t, b.String(), "step=/x/Y cause=boom")
	reply, err := unary(t.Context(), nil, &grpc.UnaryServerInfo{}, func(context.Context, any) (any, error) { return 1, nil })
	require.NoError(t, err)
	require.Equal(t, 1, reply)
	err = recoverStream(log)(nil, nil, &grpc.StreamServerInfo{}, func(any, grpc.ServerStream) error { panic("boom") })
	require.Equal(t, codes.Internal, status.Code(err))
}
