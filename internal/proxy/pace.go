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

// admitToLink refuses a request whose answer would wait too long for the VM's
// link. Only answers to other VMs cross it.
func (p *Proxy) admitToLink(t *terms) *port.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	retryAfter, ok := p.link.Admit(p.ports.Clock.Now(), float64(t.size), t.wait)
	if ok {
		return nil
	}
	return port.Refuse(port.ReasonBusy, retryAfter, "the link of the target's VM is full")
}

func (p *Proxy) correctLink(t *terms, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.CorrectSize(float64(t.size), float64(size))
}

// LinkWait is how long a large answer waits for the VM's link.
func (p *Proxy) LinkWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Wait(p.ports.Clock.Now())
}

// CountSent counts what others send over the VM's link, which large answers leave
// room for.
func (p *Proxy) CountSent(bytes int) { p.countSmall(bytes) }

// countSmall counts what is sent without a pace.
func (p *Proxy) countSmall(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.CountUnpaced(p.ports.Clock.Now(), bytes)
}

// pacedChunk is what is sent of a large answer at a time.
const pacedChunk = 8 << 10

// passPaced sends a large answer in its turn and at the pace of the link's
// share, so that small answers find the link free.
func (p *Proxy) passPaced(ctx context.Context, w http.ResponseWriter, a *answer, due time.Time) error {
	turn := &link.Transfer{Deadline: due}
	if err := p.awaitTurn(ctx, turn); err != nil {
		return err
	}
	defer p.endTurn()
	writeAnswer(w, a.response)
	return copyAnswer(&pacedWriter{proxy: p, to: w}, a)
}

// awaitTurn waits until the answer may be sent. Without an error, endTurn must be
// called once.
func (p *Proxy) awaitTurn(ctx context.Context, turn *link.Transfer) error {
	p.mu.Lock()
	if p.turns.Start(turn) {
		p.mu.Unlock()
		return nil
	}
	comes := make(chan struct{})
	p.turnComes[turn] = comes
	p.mu.Unlock()
	select {
	case <-comes:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	waited := p.turns.Cancel(turn)
	delete(p.turnComes, turn)
	p.mu.Unlock()
	if !waited {
		// The turn came as the other node went.
		p.endTurn()
	}
	return ctx.Err()
}

func (p *Proxy) endTurn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.turns.Finish()
	if next == nil {
		return
	}
	if comes := p.turnComes[next]; comes != nil {
		close(comes)
		delete(p.turnComes, next)
	}
}

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
