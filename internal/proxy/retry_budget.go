package proxy

import (
	"time"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/retry"
)

// takeRetry takes one more arrival, after the given number, from the fleet's retry
// budget. It returns false if the budget is used up or the route allows no more.
func (f *forwarder) takeRetry(now time.Time, arrivals int) bool {
	if arrivals >= f.route.MaxAttempts {
		return false
	}
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.retries.AllowRetry(now, f.service, p.retryLimits()) {
		p.denyRetry(f.service)
		return false
	}
	p.ports.Meter.Count(port.MetricRetries, f.route.Name, 1)
	return true
}

// denyRetry counts a retry that the budget didn't allow. It must be called with the mutex held.
func (p *Proxy) denyRetry(service string) {
	p.deniedRetries[service]++
	p.ports.Meter.Count(port.MetricRetriesDenied, service, 1)
}

// MeasureRetries sets the gauges of the retry budget, and logs the services of which retries
// were refused since the last call.
func (p *Proxy) MeasureRetries() {
	snapshot := p.snapshot.Load()
	if snapshot == nil {
		return
	}
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleetSize.Observe(now, snapshot.ListedVMs)
	nodes := p.fleetSize.Nodes()
	p.ports.Meter.Set(port.MetricBudgetVMs, "", float64(nodes))
	for service, usage := range p.retries.Usage(now, p.retryLimits()) {
		p.ports.Meter.Set(port.MetricBudgetUsed, service, usage.Retries)
		p.ports.Meter.Set(port.MetricBudgetAllowed, service, usage.Allowed)
		if denied := p.deniedRetries[service]; denied > 0 {
			p.requestLog.retryBudgetUsedUp(service, usage, denied, nodes, now.Sub(p.config.Started))
		}
	}
	clear(p.deniedRetries)
}

// retryLimits returns this node's part of the fleet's retry budget. It must be called with the
// mutex held.
func (p *Proxy) retryLimits() retry.Limits {
	return retry.Limits{Ratio: p.config.RetryRatio, Slack: p.config.RetrySlack / float64(p.fleetSize.Nodes())}
}

// countRequest counts a caller's request for the retry budget, and looks up the state of its
// service.
func (p *Proxy) countRequest(f *forwarder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.shortage = p.shortageOf(f.service)
	f.fromRetry = p.retries.CountRequest(f.began, f.service, f.callerDeadline)
}

// retryProbability returns the probability that the next arrival is a retry.
func (f *forwarder) retryProbability() float64 {
	if f.arrivals > 0 || f.hedged {
		return 1
	}
	return f.fromRetry
}

// beginRun counts a run at the local target. A retry is refused if the budget doesn't
// cover the calls that it makes.
func (p *Proxy) beginRun(now time.Time, meta *attemptMeta, deadline time.Time) *port.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := retry.Run{Route: meta.route, RetryProbability: meta.retryProbability, Deadline: deadline}
	if p.retries.BeginRun(now, meta.attemptID, run, p.retryLimits()) {
		return nil
	}
	p.denyRetry(*p.service.Load())
	return port.Refuse(port.ReasonBusy, retryAfterBudget, "the budget of repeats has no room for the calls of one more")
}

// retryAfterBudget is the Retry-After when the retry budget is used up: after a tenth of
// the budget's window, the oldest retries have left it.
const retryAfterBudget = time.Second

// endRun releases the slot of a run.
func (p *Proxy) endRun(attemptID string) {
	p.mu.Lock()
	p.retries.EndRun(p.ports.Clock.Now(), attemptID)
	p.mu.Unlock()
	p.gate.Release(attemptID)
}
