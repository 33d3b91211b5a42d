package proxy

import (
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/shortage"
)

// serviceShortage is what this node knows of a shortage of one service. It is used with the
// proxy's mutex held.
type serviceShortage struct {
	tracker shortage.Tracker
	// short is whether there was a shortage at the last check, of which changes are logged,
	// and lasted how long it had lasted by then.
	short  bool
	lasted time.Duration
}

// freeSlotAge is how long a report of a free slot proves that there is no shortage.
const freeSlotAge = 200 * time.Millisecond

// shortageOf returns the shortage state of a service, or nil if its targets don't report how
// long work takes. It must be called with the mutex held.
func (p *Proxy) shortageOf(service string) *serviceShortage {
	if !p.serviceLoads[service].ReportsSlowdown() {
		return nil
	}
	state := p.shortages[service]
	if state == nil {
		state = &serviceShortage{}
		p.shortages[service] = state
	}
	return state
}

// inShortage reports whether the service lacks slots for this request, and for how long it
// has. A target that the request may use and that has reported a free slot disproves it. It
// must be called with the mutex held.
func (f *forwarder) inShortage(now time.Time) (time.Duration, bool) {
	lasted, short := f.shortage.tracker.Lasted(now)
	return lasted, short && !f.freeSlotReported(now)
}

// freeSlotReported reports whether an eligible target has a free slot according to a recent
// report. It must be called with the mutex held.
func (f *forwarder) freeSlotReported(now time.Time) bool {
	groups := f.proxy.candidates[f.service]
	if groups == nil {
		return false
	}
	for _, group := range groups {
		for _, c := range group {
			// After a step back of the clock, a report of unknown age is in the future.
			load, age := c.stats.LastLoad(now)
			if load.Slots > 0 && age.Abs() < freeSlotAge && c.stats.HasFreeSlot(now) && f.eligible(now, c, false) {
				return true
			}
		}
	}
	return false
}

// stopsForShortage reports whether the next attempt, at the given target, is not worth making
// because the service lacks slots. A request without an attempt is then refused. Callers that
// retry get the same search for a target as without a shortage.
func (f *forwarder) stopsForShortage(now time.Time, member *mesh.Member) bool {
	if f.shortage == nil || f.attempts > 0 && f.fullTargets == 0 || f.firstAt.Before(f.began) {
		return false
	}
	hold, _ := f.expectedHold(now, member)
	rank, _ := f.rankAndSlack(now, hold)
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	lasted, short := f.inShortage(now)
	if !short {
		return false
	}
	tracker := &f.shortage.tracker
	if f.attempts > 0 {
		return !tracker.TryAnother(now, rank)
	}
	if !tracker.Refuse(now, rank) {
		return false
	}
	f.recordRefusal(port.Refuse(port.ReasonShortage, f.retryAfterShortage(now), "service %s has lacked slots for %d ms, and admits %.0f in 100 requests of rank %d",
		f.service, lasted.Milliseconds(), percent*tracker.Admission(rank), rank))
	return true
}

// retryAfterShortage returns when the caller should retry in a shortage. It must be called with
// the mutex held.
func (f *forwarder) retryAfterShortage(now time.Time) time.Duration {
	deadline := f.callerDeadline
	if deadline.IsZero() {
		deadline = f.deadline
	}
	return shortage.RetryAfter(deadline.Sub(now), f.proxy.random)
}

// spreadRetry returns the final refusal of a request with the Retry-After of a shortage, if
// there is one and the refusal is due to it.
func (f *forwarder) spreadRetry(refusal *port.Refusal) *port.Refusal {
	if f.shortage == nil || !lacksSlots(refusal.Reason) {
		return refusal
	}
	p := f.proxy
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, short := f.inShortage(now); !short {
		return refusal
	}
	spread := *refusal
	spread.RetryAfter = f.retryAfterShortage(now)
	return &spread
}

// lacksSlots reports whether the reason of a refusal is that a target had no free slot.
func lacksSlots(reason port.Reason) bool {
	return reason == port.ReasonDeadline || reason == port.ReasonQueueFull
}

// recordAdmission records whether the target of an attempt had a slot for it. Other failures
// say nothing about slots.
func (f *forwarder) recordAdmission(o outcome) {
	full := false
	if o.err != nil {
		var refusal *port.Refusal
		if !errors.As(o.err, &refusal) || !lacksSlots(refusal.Reason) {
			return
		}
		full = true
		f.proxy.ports.Meter.Count(port.MetricAttemptsFull, f.service, 1)
	}
	if f.shortage == nil {
		return
	}
	p := f.proxy
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case o.attempt.number == 1:
		f.shortage.tracker.RecordFirst(now, o.attempt.meta.rank, !full)
		p.noteShortage(now, f.service, f.shortage)
	case o.attempt.afterFull:
		f.shortage.tracker.RecordFurther(now, o.attempt.meta.rank, !full)
	}
}

// noteShortage checks for a shortage and logs the beginning and the end of a shortage. It must be called with the mutex
// held.
func (p *Proxy) noteShortage(now time.Time, service string, state *serviceShortage) {
	lasted, short := state.tracker.Lasted(now)
	if short != state.short {
		p.requestLog.shortageChanged(now, service, short, state.lasted)
	}
	state.short, state.lasted = short, lasted
}

// MeasureShortages sets the gauge of shortages by service, ends those without requests, and drops
// the state of services that are no longer listed.
func (p *Proxy) MeasureShortages() {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, state := range p.shortages {
		p.noteShortage(now, service, state)
		value := 0.0
		if state.short {
			value = 1
		}
		p.ports.Meter.Set(port.MetricShortage, service, value)
		if !state.short && p.candidates[service] == nil {
			delete(p.shortages, service)
		}
	}
}
