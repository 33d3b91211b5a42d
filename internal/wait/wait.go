// Package wait provides interruptible waits and idle timeouts for streams.
package wait

import (
	"context"
	"io"
	"time"
)

// Sleep waits for d. It returns false as soon as ctx ends, even if d is zero or negative.
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

// IdleReader reads from a stream and resets a timer whenever bytes arrive. The timer thus
// detects an idle connection, but doesn't fire during a long message on a busy link.
type IdleReader struct {
	Source io.Reader
	Timer  *time.Timer
	// IdleTimeout is the duration to which the timer is reset.
	IdleTimeout time.Duration
}

// Read implements io.Reader.
func (r *IdleReader) Read(b []byte) (int, error) {
	n, err := r.Source.Read(b)
	if n > 0 {
		r.Timer.Reset(r.IdleTimeout)
	}
	return n, err
}
