package proxy

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/link"
	"tamarackquay/internal/port"
)

// admitToLink returns the transfer of the response to a request of another node, or refuses
// the request if its response would wait too long for the VM's link. Only responses to other
// VMs use the link. correctLink must be called once for an admitted request. The transfer is
// nil if the link's speed is unknown.
func (p *Proxy) admitToLink(meta *attemptMeta, received time.Time) (*link.Transfer, *port.Refusal) {
	if p.link.Rate() <= 0 {
		return nil, nil
	}
	transfer := &link.Transfer{Due: received.Add(meta.dueIn), Deadline: received.Add(meta.budget), Size: float64(meta.responseSize)}
	p.mu.Lock()
	terms := link.Terms{MaxWait: meta.maxWait, Work: p.localStats.meanHold}
	retryAfter, ok := p.link.Admit(p.ports.Clock.Now(), &p.transfers, transfer, terms)
	p.mu.Unlock()
	if ok {
		return transfer, nil
	}
	p.ports.Meter.Count(port.MetricLinkRefused, "", 1)
	return nil, port.Refuse(port.ReasonBusy, retryAfter, "the link of the target's VM is full")
}

// correctLink replaces the expected size of an admitted response by its actual size, once the
// target has ended its work.
func (p *Proxy) correctLink(meta *attemptMeta, transfer *link.Transfer, size int) {
	if transfer == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.CorrectSize(float64(meta.responseSize), float64(size))
	p.transfers.Cancel(transfer)
	transfer.Size = float64(size)
}

// LinkWait returns how long a large response waits for the VM's link.
func (p *Proxy) LinkWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Wait(p.ports.Clock.Now())
}

// Transfers returns the number of large responses to other VMs that the target works on, that
// wait for the VM's link, and that are being sent.
func (p *Proxy) Transfers() (expected, waiting, sending int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transfers.Counts()
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

// sendPaced sends a large response once the queue of transfers lets it start, at the rate
// of the link's pacer, so that small responses are not delayed behind it.
func (p *Proxy) sendPaced(ctx context.Context, w http.ResponseWriter, resp *bufferedResponse, transfer *link.Transfer) error {
	paced := newPacedWriter(ctx, p, w, transfer)
	paced.hold = resp.hold
	defer paced.release()
	if err := paced.acquire(); err != nil {
		return err
	}
	resp.hold.startWriting(w)
	writeHeader(w, resp.response)
	return copyBody(paced, resp)
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
	p.endTransferLocked()
}

// endTransferLocked is endTransfer; it must be called with the mutex held.
func (p *Proxy) endTransferLocked() {
	next := p.transfers.Finish(p.ports.Clock.Now(), p.link.Rate())
	if next == nil {
		return
	}
	if ready := p.transferReady[next]; ready != nil {
		close(ready)
		delete(p.transferReady, next)
	}
}
