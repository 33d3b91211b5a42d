package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"tamarackquay/internal/link"
	"tamarackquay/internal/port"
)

// admitToLink refuses a request whose response would wait too long for the VM's link.
// Only responses to other VMs use the link.
func (p *Proxy) admitToLink(meta *attemptMeta) *port.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	retryAfter, ok := p.link.Admit(p.ports.Clock.Now(), float64(meta.responseSize), meta.maxWait)
	if ok {
		return nil
	}
	return port.Refuse(port.ReasonBusy, retryAfter, "the link of the target's VM is full")
}

// correctLink replaces the expected size of an admitted response by its actual size.
func (p *Proxy) correctLink(meta *attemptMeta, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.CorrectSize(float64(meta.responseSize), float64(size))
}

// LinkWait returns how long a large response waits for the VM's link.
func (p *Proxy) LinkWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Wait(p.ports.Clock.Now())
}

// CountSent counts bytes that other components send over the VM's link, so that large
// responses leave bandwidth for them.
func (p *Proxy) CountSent(bytes int) { p.countUnpaced(bytes) }

// countUnpaced counts bytes that are sent without rate limiting.
func (p *Proxy) countUnpaced(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.CountUnpaced(p.ports.Clock.Now(), bytes)
}

// pacedChunk is the number of bytes of a large response sent in one write.
const pacedChunk = 8 << 10

// sendPaced sends a large response once the queue of transfers lets it start, at the rate
// of the link's pacer, so that small responses are not delayed behind it.
func (p *Proxy) sendPaced(ctx context.Context, w http.ResponseWriter, resp *bufferedResponse, due time.Time) error {
	transfer := &link.Transfer{Deadline: due}
	if err := p.awaitTransfer(ctx, transfer); err != nil {
		return err
	}
	defer p.endTransfer()
	resp.hold.startWriting(w)
	writeHeader(w, resp.response)
	return copyBody(&pacedWriter{proxy: p, to: w}, resp)
}

// awaitTransfer waits until the response may be sent. If it returns nil, endTransfer must
// be called once.
func (p *Proxy) awaitTransfer(ctx context.Context, transfer *link.Transfer) error {
	p.mu.Lock()
	if p.transfers.Start(transfer) {
		p.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	p.transferReady[transfer] = ready
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	cancelled := p.transfers.Cancel(transfer)
	delete(p.transferReady, transfer)
	p.mu.Unlock()
	if !cancelled {
		// The transfer was allowed to start just as the other node disconnected.
		p.endTransfer()
	}
	return ctx.Err()
}

// endTransfer ends the sending of a large response and lets the next one start.
func (p *Proxy) endTransfer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.transfers.Finish()
	if next == nil {
		return
	}
	if ready := p.transferReady[next]; ready != nil {
		close(ready)
		delete(p.transferReady, next)
	}
}

// pacedWriter writes at the rate of the link's pacer.
type pacedWriter struct {
	proxy *Proxy
	to    io.Writer
}

// Write implements io.Writer.
func (w *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(b, pacedChunk) {
		w.proxy.mu.Lock()
		pause := w.proxy.link.Reserve(w.proxy.ports.Clock.Now(), len(chunk))
		w.proxy.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause)
		}
		n, err := w.to.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
