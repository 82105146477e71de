// Package socket looks at connections without reading from them, and checks the ends that reads find.
//
// The kernel reports a reset or a timeout of a connection once: to a read, a write, a call that
// peeks, or a query of SO_ERROR. Every later read finds an end, as if the peer had closed the
// connection.
package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what the next read of a socket would return.
type State int

const (
	// Closed: an error or the end of the connection.
	Closed State = iota
	// Quiet: nothing yet.
	Quiet
	// Unread: data.
	Unread
)

// ErrEndUnknown means that a connection has ended with a reset or a timeout whose report something
// else has taken, so that the end that a read has found is not the peer's.
var ErrEndUnknown = errors.New("end of a broken connection")

// Events of a poll.
const (
	// broken is set once both directions have ended, and failed while the report of a reset or a
	// timeout has not been taken.
	broken = unix.POLLHUP
	failed = unix.POLLERR
)

// Look returns the state of a socket by its file descriptor, for callbacks of a RawConn. It takes
// the report of a reset, so it is for connections on which no answer is being read.
func Look(fd uintptr) State {
	var first [1]byte
	n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Quiet
	case err == nil && n > 0:
		return Unread
	}
	return Closed
}

// StateOf is Look for a connection.
func StateOf(raw syscall.RawConn) State {
	state := Closed
	if err := raw.Control(func(fd uintptr) { state = Look(fd) }); err != nil {
		return Closed
	}
	return state
}

// HasArrived reports whether the next read of a connection has something to return: data, its end or
// an error. It takes nothing.
func HasArrived(c syscall.Conn) bool {
	events, err := eventsOf(c)
	return err != nil || events != 0
}

// Read reads from a connection. It returns io.EOF only if the peer has closed the connection, and
// ErrEndUnknown if the connection was broken and the report of that has been taken.
func Read(c net.Conn, p []byte) (int, error) {
	n, err := c.Read(p)
	if errors.Is(err, io.EOF) {
		err = checkEnd(c)
	}
	return n, err
}

// Conn is a connection that is read with Read.
type Conn struct{ net.Conn }

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) { return Read(c.Conn, p) }

// checkEnd returns io.EOF if the end that a read of a connection has found is that of its peer. A
// connection that was broken after the peer had closed it keeps its report, because reads of it
// find the peer's end first.
func checkEnd(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		// Not a socket, so there are no reports that can be taken.
		return io.EOF
	}
	events, err := eventsOf(sc)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrEndUnknown, err)
	case events&broken != 0 && events&failed == 0:
		return ErrEndUnknown
	}
	return io.EOF
}

// eventsOf returns the poll events of a connection.
func eventsOf(c syscall.Conn) (events int16, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { events, err = poll(fd) })
	return events, errors.Join(controlErr, err)
}

// poll returns the poll events of a file descriptor.
func poll(fd uintptr) (int16, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return fds[0].Revents, err
		}
	}
}
