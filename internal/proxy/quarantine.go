package proxy

import (
	"context"
	"time"

	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
)

func fingerprintOf(f *forwarder) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&quarantine.Content{
		Method: f.method, Host: f.host, URI: f.uri, Length: f.length, Body: f.body.Head(),
	})
}

// checkQuarantine returns a refusal if the request is quarantined, or nil.
func (p *Proxy) checkQuarantine(request quarantine.Fingerprint) *port.Refusal {
	left := p.crashes.BlockRemaining(request)
	if left == 0 {
		return nil
	}
	return port.Refuse(port.ReasonQuarantined, left, "targets crashed under this request; it is kept from others")
}

// unsuspected reports whether the request, when it arrived, was not suspected of a target
// crash. A suspected request isn't retried after it may have run: its caller gets the
// outcome, and if the request causes the crashes, fewer targets crash.
func (f *forwarder) unsuspected() bool { return f.crashCount == 0 }

// isolateThreshold is the number of crashes from which suspected requests run one at a
// time at a target, so that the next crash identifies the cause.
const isolateThreshold = 2

// retryIsolated is the Retry-After of a request that could not run in isolation.
const retryIsolated = 100 * time.Millisecond

// isolate waits until no other suspected request runs at the local target, if the request
// itself is suspected. The returned release must be called in any case.
func (p *Proxy) isolate(ctx context.Context, meta *attemptMeta) (release func(), refusal *port.Refusal) {
	if p.crashes.CrashCount(meta.fingerprint) < isolateThreshold {
		return func() {}, nil
	}
	timer := time.NewTimer(min(meta.maxWait+minBudget, meta.budget))
	defer timer.Stop()
	select {
	case p.suspectSlot <- struct{}{}:
		return func() { <-p.suspectSlot }, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}, port.Refuse(port.ReasonBusy, retryIsolated, "another request that may crash the target runs there")
}
