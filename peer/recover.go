package peer

import (
	"context"
	"log/slog"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoverUnary returns an interceptor that turns a panic of a handler into an error of
// the call. gRPC does not recover panics, so a message from one peer could otherwise
// terminate the process and all requests that it is processing.
func recoverUnary(log *slog.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
		defer func() { err = recovered(log, info.FullMethod, recover(), err) }()
		return next(ctx, req)
	}
}

// recoverStream is like recoverUnary, for streaming calls.
func recoverStream(log *slog.Logger) grpc.StreamServerInterceptor {
	return func(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
		defer func() { err = recovered(log, info.FullMethod, recover(), err) }()
		return next(srv, stream)
	}
}

// recovered returns err if cause, the result of recover, is nil. Otherwise it logs the
// panic and returns a gRPC status.
func recovered(log *slog.Logger, method string, cause any, err error) error {
	if cause == nil {
		return err
	}
	log.Error("handler panicked", "step", method, "cause", cause, "stack", string(debug.Stack()))
	return status.Error(codes.Internal, "the entry failed inside")
}
