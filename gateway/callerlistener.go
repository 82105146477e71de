package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerListener accepts the connections of callers. The server closes it when it stops to
// accept them.
type callerListener struct {
	net.Listener
	conns *callerConns
	// ended is closed once no connection will be accepted any more.
	ended chan struct{}
	end   func()
}

func newCallerListener(l net.Listener, conns *callerConns) *callerListener {
	ended := make(chan struct{})
	return &callerListener{Listener: l, conns: conns, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.end()
	}
	if err != nil {
		return nil, err
	}
	return l.conns.add(c), nil
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.end()
	return l.Listener.Close()
}

const (
	// acceptPoll is how often it is checked whether connections wait to be accepted, and
	// maxAcceptPolls how many times at most.
	acceptPoll     = time.Millisecond
	maxAcceptPolls = 200
)

// closeAccepted closes the listener once all connections that wait have been accepted. Closing
// it would reset them, with the requests that callers have sent on them.
func (l *callerListener) closeAccepted() error {
	for range maxAcceptPolls {
		if !hasWaiting(l.Listener) {
			break
		}
		sleep(context.Background(), acceptPoll)
	}
	err := l.Listener.Close()
	<-l.ended
	return err
}

// hasWaiting reports whether connections wait to be accepted.
func hasWaiting(l net.Listener) bool {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		// An error means that nothing is known to wait.
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}
