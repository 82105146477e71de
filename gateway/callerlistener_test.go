package gateway

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener accepts no connection.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) {
	return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
}

func (failingListener) Close() error { return nil }

// Accepting connections fails for good, so that the server ends. A planned stop does not wait
// for it any more.
func TestStopWaitsForAListenerThatHasFailed(t *testing.T) {
	l := newCallerListener(failingListener{}, newCallerConns(func() time.Duration { return 0 }))
	server := &http.Server{}
	require.ErrorIs(t, server.Serve(l), syscall.ENOBUFS)
	select {
	case <-l.ended:
	default:
		t.Error("a stop would wait until its process is killed")
	}
}
