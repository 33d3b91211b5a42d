package target

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the machine's monotonic clock, which is the same in all processes.
// The time of day may be stepped between two readings of it: requests that were
// answered in milliseconds were then seen to start seconds after their deadline.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		// Linux always has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
