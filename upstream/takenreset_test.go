package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"jaylink/internal/socket"
)

// reportTaker is a connection whose pending error is taken before its second read.
type reportTaker struct {
	*net.TCPConn
	reads   int
	drained chan struct{}
	taken   error
}

func (c *reportTaker) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		close(c.drained)
		c.taken = c.takeReport()
	}
	return c.TCPConn.Read(p)
}

// takeReport waits for an error of the connection and takes it.
func (c *reportTaker) takeReport() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	errno := 0
	var optErr error
	if err := raw.Read(func(fd uintptr) bool {
		errno, optErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		return optErr != nil || errno != 0
	}); err != nil || optErr != nil {
		return fmt.Errorf("%w, %w", err, optErr)
	}
	return syscall.Errno(errno)
}

// An upstream resets the connection of an answer without a length, and something else than the
// transport's read gets the report of that. The part that has come must not be a whole answer.
func TestResetThatSomethingElseHasSeenIsWhole(t *testing.T) {
	drained := make(chan struct{})
	p := newTCPUpstream(t, func(_ *tcpUpstream, c net.Conn, r *bufio.Reader) {
		if !readCall(c, r) {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		<-drained
		reset(c)
	})
	client := New(nil)
	defer client.Close()
	var taker *reportTaker
	// The load report is asked for on other connections.
	transport := client.single.Transport.(checkedTransport)
	transport.DialContext = dialUpstream(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		taker = &reportTaker{TCPConn: c.(*net.TCPConn), drained: drained}
		return taker, nil
	}, nil)
	_, res := client.Forward(t.Context(), newCall(p.Addr().String(), false))
	require.ErrorIs(t, taker.taken, syscall.ECONNRESET)
	require.ErrorIs(t, res.Err, socket.ErrEndUnknown)
}
