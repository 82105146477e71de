package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// probeTimeout limits the probe of an upstream. probePause is the pause between two of
	// its connection attempts; more than one may be needed, because a process that is just
	// exiting resets new connections before it refuses them.
	probeTimeout = 250 * time.Millisecond
	probePause   = 20 * time.Millisecond
)

// ErrCrashedAtEnd means that an answer with neither a length nor chunks, which ends with
// its connection, is likely to be incomplete: its upstream has crashed.
var ErrCrashedAtEnd = errors.New("upstream crashed at the end of its answer")

// RefusesConnections reports whether an upstream refuses connections, as that of a process
// that has crashed does. A timeout proves nothing, as the network may be partitioned.
func RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			// Nothing was sent on the connection, so an error on close does not matter.
			_ = c.Close()
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
		}
	}
	return false
}
