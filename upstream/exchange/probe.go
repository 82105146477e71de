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

// settleTime is how long a connection has to stay open to show that its process is not just
// exiting. While one exits, its connections may be closed before its listener is.
const settleTime = 60 * time.Millisecond

// RefusesConnections reports whether an upstream refuses connections, as that of a process
// that has crashed does. A timeout proves nothing, as the network may be partitioned.
func RefusesConnections(ctx context.Context, address string) bool {
	return probe(ctx, address, func(net.Conn) bool { return true })
}

// HasExited is RefusesConnections for an upstream that may be exiting at this moment. It takes
// settleTime longer if the upstream runs.
func HasExited(ctx context.Context, address string) bool {
	return probe(ctx, address, staysOpen)
}

// probe reports whether an upstream refuses connections. accepts says whether a connection
// shows that it does not.
func probe(ctx context.Context, address string, accepts func(net.Conn) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			isUp := accepts(c)
			// Nothing was sent on the connection, so an error on close does not matter.
			_ = c.Close()
			if isUp {
				return false
			}
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

// staysOpen reports whether a connection is still open after settleTime.
func staysOpen(c net.Conn) bool {
	// An error means that the connection is closed; the read then fails, too.
	_ = c.SetReadDeadline(time.Now().Add(settleTime))
	var one [1]byte
	_, err := c.Read(one[:])
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}
