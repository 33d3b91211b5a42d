package proxy

import (
	"time"

	"tamarackquay/internal/routing/clientretry"
)

func (f *forwarder) callerRetryKey() *clientretry.Request {
	return &clientretry.Request{Method: f.method, Host: f.host, URI: f.uri, Deadline: f.callerDeadline}
}

// firstAttempt returns when the caller first sent this request.
func (p *Proxy) firstAttempt(f *forwarder) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callerRetries.FirstAttempt(f.began, f.callerRetryKey())
}

// recordCallerFailure records a failed request, to recognize it if its caller retries.
func (p *Proxy) recordCallerFailure(f *forwarder) {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerRetries.RecordFailure(now, f.callerRetryKey(), f.firstAt)
}

// overdue reports whether the response is late in any case because the target latency has
// passed.
func (f *forwarder) overdue(now time.Time) bool {
	return f.route.TargetLatency > 0 && !now.Before(f.firstAt.Add(f.route.TargetLatency))
}
