package peer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the system give a connection up whose data was not
// acknowledged for unackedTimeout. Without it, a connection over a link that
// loses everything for minutes stays, and the pauses between its attempts grow
// until the link has long been back.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
