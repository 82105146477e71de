package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads the time since the host's start, including suspensions.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock; the process could not
		// hold a lease safely without it.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// steadyTime is a reading of the steady clock as a time, for decisions that take
// times. Only differences mean something.
func steadyTime() time.Time { return time.Unix(0, int64(bootClock())) }
