package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the host's boot, including the time for which it was
// suspended.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only if the kernel does not have this clock. Without it a
		// lease can't be held safely: another clock may stop during a suspension.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// monotonicTime returns the reading of monotonic as a time.Time, for decision packages
// that take one. Only differences between readings are meaningful.
func monotonicTime() time.Time { return time.Unix(0, int64(bootClock())) }
