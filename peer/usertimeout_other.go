//go:build !linux

package peer

import "syscall"

// setUserTimeout does nothing on systems other than Linux, where the option is not
// available.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
