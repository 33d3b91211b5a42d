package proxy

import (
	"context"
	"time"

	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
)

func fingerprintOf(f *flight) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&quarantine.Content{
		Method: f.method, Host: f.host, URI: f.uri, Length: f.length, Body: f.body.Head(),
	})
}

// quarantined returns the refusal of a request that is kept from targets, or nil.
func (p *Proxy) quarantined(request quarantine.Fingerprint) *port.Refusal {
	left := p.crashes.BlockRemaining(request)
	if left == 0 {
		return nil
	}
	return port.Refuse(port.ReasonQuarantined, left, "targets crashed under this request; it is kept from others")
}

// mayRepeat reports whether the request may be offered once more after it may have run. One
// that ran beside a crash before its caller sent it again isn't: its caller learns the
// outcome, and if it is the cause, fewer targets crash under it.
func (f *flight) mayRepeat() bool { return f.suspicion == 0 }

// isolateFrom is the count of crashes from which suspects run one at a time at a target, so
// that the next crash tells them apart.
const isolateFrom = 2

// retryIsolated is when a caller may come back whose request could not run alone.
const retryIsolated = 100 * time.Millisecond

// isolate waits until no other suspect runs at the VM's own target, if the request is one.
// Release must be called in any case.
func (p *Proxy) isolate(ctx context.Context, t *terms) (release func(), refusal *port.Refusal) {
	if p.crashes.CrashCount(t.fingerprint) < isolateFrom {
		return func() {}, nil
	}
	timer := time.NewTimer(min(t.wait+leastBudget, t.budget))
	defer timer.Stop()
	select {
	case p.alone <- struct{}{}:
		return func() { <-p.alone }, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}, port.Refuse(port.ReasonBusy, retryIsolated, "another request that may crash the target runs there")
}
