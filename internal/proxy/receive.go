package proxy

import (
	"time"

	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
)

// beginReceiving counts the large response of an attempt at another VM as on its way to this
// VM. It returns a refusal if the response can't arrive over this VM's link before the caller
// stops waiting. endReceiving must follow if it returns nil.
func (p *Proxy) beginReceiving(a *attempt) *port.Refusal {
	if p.distance(a.member) == placement.SameVM {
		return nil
	}
	p.mu.Lock()
	retryAfter, ok := p.inbound.Begin(float64(a.meta.responseSize), a.meta.budget)
	p.mu.Unlock()
	if ok {
		return nil
	}
	p.ports.Meter.Count(port.MetricReceiveRefused, "", 1)
	return port.Refuse(port.ReasonBusy, retryAfter, "the link of the entry node's VM is full")
}

// endReceiving ends what beginReceiving began.
func (p *Proxy) endReceiving(a *attempt) {
	if p.distance(a.member) == placement.SameVM {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inbound.End(float64(a.meta.responseSize))
}

// ReceiveTime returns how long a further response of the given size in bytes would take over
// the VM's link, together with all large responses on their way to it; 0 if it isn't large.
func (p *Proxy) ReceiveTime(size float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inbound.Time(size)
}
