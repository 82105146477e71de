package exchange

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AfterSteps is afterSteps.
func AfterSteps(steps int, step time.Duration, f func()) (stop func()) {
	return afterSteps(steps, step, f)
}

// DialAndReset opens a connection to an upstream and resets it.
func DialAndReset(ctx context.Context, address string) error {
	c, err := dial(ctx, address)
	if err == nil {
		c.abort()
	}
	return err
}

// WriteEnded is closed once the request was written or its write has failed.
func (a *Answer) WriteEnded() <-chan struct{} { return a.write.done }

// ExpectAgain is Expect after a deadline at which something had arrived.
func (a *Answer) ExpectAgain(deadline time.Time, onSilence Silence) {
	a.Expect(deadline, onSilence)
	a.conn.hasWaited = true
}

// AwaitEnd waits until nothing more can arrive on the answer's connection, without a read of it.
func (a *Answer) AwaitEnd() error { return a.conn.awaitEnd() }

// AwaitIdleEnd is AwaitEnd for the only idle connection to an upstream.
func (p *Pool) AwaitIdleEnd(address string) error {
	p.mu.Lock()
	c := p.idle[address][0]
	p.mu.Unlock()
	return c.awaitEnd()
}

func (c *conn) awaitEnd() error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		return err == nil && n > 0
	})
}

// TakeReport returns the pending error of the answer's connection, which reads don't get then.
func (a *Answer) TakeReport() error {
	raw, err := a.conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	errno := 0
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		errno, optErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}); err != nil || optErr != nil || errno == 0 {
		return err
	}
	return syscall.Errno(errno)
}
