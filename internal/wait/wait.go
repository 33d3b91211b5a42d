// Package wait holds the one way in which adapters and tools wait: for a time,
// or until they are told to stop.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false as soon as ctx ends, also for a d that is
// not above zero.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
