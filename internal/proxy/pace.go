package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

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
	p.link.Correct(float64(t.size), float64(size))
}

// LinkWait is how long a large answer waits for the VM's link.
func (p *Proxy) LinkWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Wait(p.ports.Clock.Now())
}

// headerBytes is about what the headers of a message between nodes take.
const headerBytes = 600

// countSmall counts what is sent without a pace.
func (p *Proxy) countSmall(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.Small(p.ports.Clock.Now(), bytes)
}

const (
	// pacedChunk is what is sent of a large answer at a time.
	pacedChunk = 8 << 10
	// atOnce is how many large answers are sent at a time, in the order in
	// which they are ready. If all were sent together, each would take as long
	// as all; one alone can't fill the link on a long way.
	atOnce = 3
)

// passPaced sends a large answer in its turn and at the pace of the link's
// share, so that small answers find the link free.
func (p *Proxy) passPaced(ctx context.Context, w http.ResponseWriter, a *answer) error {
	if err := p.turns.Acquire(ctx, 1); err != nil {
		return err
	}
	defer p.turns.Release(1)
	writeAnswer(w, a.response)
	return copyAnswer(&pacedWriter{proxy: p, to: w}, a)
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
		pause := w.proxy.link.Pace(w.proxy.ports.Clock.Now(), len(chunk))
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
