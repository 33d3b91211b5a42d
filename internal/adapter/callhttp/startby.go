package callhttp

import (
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// FormatStartBy returns the value of HeaderStartBy for a deadline.
func FormatStartBy(deadline time.Time) string {
	// The monotonic clock is read first: a pause between the two clock reads can
	// then make the result only earlier, never later.
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		// Linux always has this clock.
		panic(err)
	}
	by := time.Duration(now.Nano()) + time.Until(deadline)
	return strconv.FormatInt(by.Milliseconds(), 10)
}
