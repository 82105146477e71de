package exchange_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/upstream/exchange"
)

// A process that is exiting still takes a connection, resets it and then refuses others. It
// must not count as running.
func TestExitingProcessCountsAsRunning(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		time.Sleep(20 * time.Millisecond)
		_ = l.Close()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	require.True(t, exchange.HasExited(context.Background(), l.Addr().String()))
}

func TestRunningProcessHasNotExited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	began := time.Now()
	require.False(t, exchange.HasExited(context.Background(), l.Addr().String()))
	require.False(t, exchange.RefusesConnections(context.Background(), l.Addr().String()))
	require.Less(t, time.Since(began), 2*time.Second)
}
