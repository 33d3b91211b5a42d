package proxy

import (
	"context"
	"io"
	"slices"
	"time"

	"tamarackquay/internal/link"
	"tamarackquay/internal/port"
)

const (
	// pacedChunk is the number of bytes of a large response sent in one write.
	pacedChunk = 8 << 10
	// stallTime is how long a write may block before the response gives up its sending slot.
	// A chunk takes 7 ms on a link of 10 Mbit/s.
	stallTime = 100 * time.Millisecond
)

// pacedWriter writes a large response at the rate of the link's pacer while it holds one of
// the link's sending slots. If the receiver stops reading, the slot is released, and the
// response waits for a slot again once the receiver reads.
type pacedWriter struct {
	ctx      context.Context
	proxy    *Proxy
	to       io.Writer
	transfer *link.Transfer
	stall    *time.Timer
	// hold accounts for the response's memory; nil without a limit. The receiver is not
	// blamed for the time in which the response waits for the link.
	hold *memoryHold
	// holding reports whether the response holds a slot. It is guarded by the proxy's mutex.
	holding bool
}

func newPacedWriter(ctx context.Context, p *Proxy, to io.Writer, transfer *link.Transfer) *pacedWriter {
	w := &pacedWriter{ctx: ctx, proxy: p, to: to, transfer: transfer}
	w.stall = time.AfterFunc(stallTime, w.stalled)
	w.stall.Stop()
	return w
}

// acquire waits for a slot unless the response holds one.
func (w *pacedWriter) acquire() error {
	p := w.proxy
	p.mu.Lock()
	holding := w.holding
	p.mu.Unlock()
	if holding {
		return nil
	}
	if err := p.awaitTransfer(w.ctx, w.transfer); err != nil {
		return err
	}
	p.mu.Lock()
	w.holding = true
	p.mu.Unlock()
	return nil
}

// release gives up the slot if the response holds one, and reports whether it did.
func (w *pacedWriter) release() bool {
	p := w.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.holding {
		return false
	}
	w.holding = false
	p.endTransferLocked()
	return true
}

// stalled gives up the slot while a write blocks.
func (w *pacedWriter) stalled() {
	p := w.proxy
	p.mu.Lock()
	w.transfer.Slow = true
	p.mu.Unlock()
	if w.release() {
		p.ports.Meter.Count(port.MetricLinkStalls, "", 1)
	}
}

// Write implements io.Writer.
func (w *pacedWriter) Write(b []byte) (int, error) {
	p := w.proxy
	written := 0
	for chunk := range slices.Chunk(b, pacedChunk) {
		w.hold.wait()
		if err := w.acquire(); err != nil {
			return written, err
		}
		p.mu.Lock()
		pause := p.link.Reserve(p.ports.Clock.Now(), len(chunk))
		p.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause)
		}
		if ended := w.hold.recordProgress(); ended {
			return written, errEndedForMemory
		}
		w.stall.Reset(stallTime)
		n, err := w.to.Write(chunk)
		w.stall.Stop()
		written += n
		p.mu.Lock()
		w.transfer.Size = max(0, w.transfer.Size-float64(n))
		p.mu.Unlock()
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
