package peer

import (
	"context"
	"log/slog"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoverUnary turns a panic of a handler into an error of that call, so that a
// message of one peer can't end the process, and with it every request that it
// drives. Without it gRPC lets the panic through.
func recoverUnary(log *slog.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
		defer func() { err = recovered(log, info.FullMethod, recover(), err) }()
		return next(ctx, req)
	}
}

// recoverStream is recoverUnary for streams.
func recoverStream(log *slog.Logger) grpc.StreamServerInterceptor {
	return func(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
		defer func() { err = recovered(log, info.FullMethod, recover(), err) }()
		return next(srv, stream)
	}
}

func recovered(log *slog.Logger, method string, cause any, err error) error {
	if cause == nil {
		return err
	}
	log.Error("handler panicked", "step", method, "cause", cause, "stack", string(debug.Stack()))
	return status.Error(codes.Internal, "the entry failed inside")
}
