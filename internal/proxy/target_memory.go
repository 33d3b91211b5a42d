package proxy

import (
	"io"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/port"
)

// targetMemoryRefusal returns a refusal if the local target has crashed while it held about
// as many bytes of request bodies as it would hold with this request, or nil.
func (p *Proxy) targetMemoryRefusal(r *exchange.Request) *port.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checkTargetMemory(r)
}

// checkTargetMemory must be called with the mutex held.
func (p *Proxy) checkTargetMemory(r *exchange.Request) *port.Refusal {
	memory := &p.localRuns.memory
	length := r.ContentLength
	if length < 0 && r.Body != nil {
		// Any number of bytes may follow: the body fits only if there is room at all.
		length = 1
	}
	if memory.Fits(length) {
		return nil
	}
	p.ports.Meter.Count(port.MetricMemoryRefused, "target", 1)
	return port.Refuse(port.ReasonMemory, retryMemory, "the target holds %d bytes of requests, and may hold %d since it crashed", memory.Held(), memory.Bound())
}

// recordTargetCrash learns from a crash how much the target can hold.
func (p *Proxy) recordTargetCrash(held int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	memory := &p.localRuns.memory
	if memory.RecordCrash(held) {
		p.ports.Log.Warn().Int64(logfield.HeldBytes, held).Int64(logfield.BoundBytes, memory.Bound()).Msg("target gets fewer bytes at once")
	}
}

// recordTargetResponse records that the target has answered a request. It must be called with
// the mutex held.
func (p *Proxy) recordTargetResponse() {
	memory := &p.localRuns.memory
	if memory.Bound() > 0 && memory.RecordResponse(p.ports.Clock.Now()) {
		p.ports.Log.Info().Msg("target gets any number of bytes")
	}
}

// measureTargetMemory sets the gauges of the target's memory.
func (p *Proxy) measureTargetMemory() {
	p.mu.Lock()
	held, bound := p.localRuns.memory.Held(), p.localRuns.memory.Bound()
	p.mu.Unlock()
	p.ports.Meter.Set(port.MetricTargetHeld, "", float64(held))
	p.ports.Meter.Set(port.MetricTargetBound, "", float64(bound))
}

// countedBody counts the bytes of a request body of unknown length that are sent to the
// local target.
type countedBody struct {
	io.Reader
	proxy     *Proxy
	attemptID string
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.proxy.countRunBytes(b.attemptID, int64(n))
	return n, err
}

// countRunBytes counts bytes of a run. A run that has ended counts nothing more.
func (p *Proxy) countRunBytes(attemptID string, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run, ok := p.localRuns.running[attemptID]
	if !ok {
		return
	}
	run.bytes += bytes
	p.localRuns.running[attemptID] = run
	p.localRuns.memory.Add(bytes)
}
