package target

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time on the machine's monotonic clock, which all processes
// share. The wall clock is not used, since it may be stepped between two readings:
// requests that were answered in milliseconds then seemed to start seconds after
// their deadline.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		// Linux always has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
