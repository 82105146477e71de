// Package socket looks at connections without reading from them.
package socket

import (
	"errors"
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

// Look returns the state of a socket by its file descriptor, for callbacks of a RawConn.
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

// StateOf returns the state of a connection's socket.
func StateOf(raw syscall.RawConn) State {
	state := Closed
	if err := raw.Control(func(fd uintptr) { state = Look(fd) }); err != nil {
		return Closed
	}
	return state
}
