package proxy

import (
	"time"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/retry"
)

// grantRepeat takes one more arrival after so many out of the fleet's budget, or
// reports false when there is none left.
func (f *flight) grantRepeat(now time.Time, arrivals int) bool {
	if arrivals >= f.route.MaxAttempts {
		return false
	}
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.repeats.AllowRetry(now, f.service, p.repeatTerms(f.picture)) {
		return false
	}
	p.ports.Meter.Count(port.MetricRetries, f.route.Name, 1)
	return true
}

// repeatTerms are this node's part of the fleet's budget.
func (p *Proxy) repeatTerms(picture *Picture) retry.Limits {
	nodes := 1
	if picture != nil {
		nodes = max(picture.Nodes, 1)
	}
	return retry.Limits{Ratio: p.config.RepeatRatio, Slack: p.config.RepeatFew / float64(nodes)}
}

func (p *Proxy) countRequest(f *flight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.repeated = p.repeats.CountRequest(f.began, f.service, f.callerEnds)
}

// repeatPart is the chance that the next arrival is a repeat.
func (f *flight) repeatPart() float64 {
	if f.arrivals > 0 || f.second {
		return 1
	}
	return f.repeated
}

// beginRun counts a run at the VM's own target. A repeat is refused whose calls the
// budget has no room for.
func (p *Proxy) beginRun(now time.Time, t *terms, deadline time.Time) *port.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := retry.Run{Route: t.route, RetryProbability: t.repeated, Deadline: deadline}
	if p.repeats.BeginRun(now, t.attempt, run, p.repeatTerms(p.picture.Load())) {
		return nil
	}
	return port.Refuse(port.ReasonBusy, retryRepeat, "the budget of repeats has no room for the calls of one more")
}

// retryRepeat is when to come back where the budget of repeats is used up: the
// oldest repeats leave it a tenth of its window later.
const retryRepeat = time.Second

// endRun gives back the slot of a run.
func (p *Proxy) endRun(attempt string) {
	p.mu.Lock()
	p.repeats.EndRun(p.ports.Clock.Now(), attempt)
	p.mu.Unlock()
	p.gate.Leave(attempt)
}
