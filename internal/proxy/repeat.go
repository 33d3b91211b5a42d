package proxy

import (
	"time"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/retry"
)

// mayRepeat takes an arrival beyond the first out of the fleet's budget, unless
// that was done when the last attempt was given up.
func (f *flight) mayRepeat(now time.Time) bool {
	granted := f.granted
	f.granted = false
	return granted || f.grantRepeat(now, f.arrivals)
}

// grantRepeat asks the budget for one more arrival after so many.
func (f *flight) grantRepeat(now time.Time, arrivals int) bool {
	if arrivals >= f.route.MaxAttempts {
		return false
	}
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	few := p.config.RepeatFew / float64(max(f.picture.Nodes, 1))
	if !p.window(f.service).Repeat(now, p.config.RepeatRatio, few) {
		return false
	}
	p.ports.Meter.Count(port.MetricRetries, f.route.Name, 1)
	return true
}

func (p *Proxy) countRequest(f *flight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window(f.service).Request(f.began)
}

func (p *Proxy) window(service string) *retry.Window {
	w := p.repeats[service]
	if w == nil {
		w = &retry.Window{}
		p.repeats[service] = w
	}
	return w
}
