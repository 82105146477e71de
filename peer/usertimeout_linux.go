package peer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the operating system close a connection whose data was not
// acknowledged for unackedTimeout. Otherwise a connection over a link that loses all
// packets for minutes stays open, and its retransmission interval grows so much that
// it stays blocked long after the link has recovered.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
