package proxy

import (
	"time"

	"tamarackquay/internal/routing/clientretry"
)

func (f *flight) attemptOfCaller() *clientretry.Request {
	return &clientretry.Request{Method: f.method, Host: f.host, URI: f.uri, Deadline: f.callerEnds}
}

// firstAttempt is when the caller of a request first asked for it.
func (p *Proxy) firstAttempt(f *flight) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers.FirstAttempt(f.began, f.attemptOfCaller())
}

// rememberFailed keeps in mind that the caller may come back.
func (p *Proxy) rememberFailed(f *flight) {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.RecordFailure(now, f.attemptOfCaller(), f.first)
}

// overdue reports whether the answer can't be in time any more, however fast it is.
func (f *flight) overdue(now time.Time) bool {
	return f.route.TargetLatency > 0 && !now.Before(f.first.Add(f.route.TargetLatency))
}
