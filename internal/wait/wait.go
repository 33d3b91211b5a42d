// Package wait holds the one way in which adapters and tools wait: for a time,
// or until they are told to stop.
package wait

import (
	"context"
	"io"
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

// Progress reads from a stream and puts a timer off with each byte that comes, so
// that the timer tells silence from a long message on a full link.
type IdleReader struct {
	Source io.Reader
	Timer  *time.Timer
	// Silence is for how long the timer is put off.
	IdleTimeout time.Duration
}

// Read implements io.Reader.
func (p *IdleReader) Read(b []byte) (int, error) {
	n, err := p.Source.Read(b)
	if n > 0 {
		p.Timer.Reset(p.IdleTimeout)
	}
	return n, err
}
