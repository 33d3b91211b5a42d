package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// slowFactor is how many times the usual work an attempt takes before a second target is
// tried (hedging). A target that hangs, or whose response was lost, would otherwise use
// up all the time in which another target could still respond. The second target must
// have a free slot by its last load report, and the fleet's retry budget must allow the
// attempt. The first attempt continues in parallel: cancelling it for a target that then
// had no free slot wasted its work and left the caller without a response. If the time
// of the work is log-normal with a spread of 0.5, 3 in 1,000 requests take four times the
// mean.
const slowFactor = 4

// attempt sends the request to a target, and to a second one if the first is slow, and
// returns the first successful response. If a target responded with a failure and another
// may be tried, it returns the response together with an error.
func (f *forwarder) attempt(ctx context.Context, now time.Time, member *mesh.Member) (*bufferedResponse, error) {
	first := f.startAttempt(ctx, now, member)
	if !f.mayHedge() {
		return f.handleOutcome(first.run())
	}
	ended := make(chan outcome, 2)
	go func() { ended <- first.run() }()
	timer := time.NewTimer(f.hedgeDelay(now, first.stats))
	defer timer.Stop()
	select {
	case o := <-ended:
		return f.handleOutcome(o)
	case <-first.headerReceived:
		return f.handleOutcome(<-ended)
	case <-timer.C:
	}
	second := f.startHedge(ctx)
	if second == nil {
		return f.handleOutcome(<-ended)
	}
	go func() { ended <- second.run() }()
	return f.awaitEither(first, second, ended)
}

// mayHedge reports whether a second attempt in parallel is allowed for this request.
func (f *forwarder) mayHedge() bool {
	return f.route.Kind.IsIdempotent() && f.arrivals+1 < f.route.MaxAttempts && f.body.IsBuffered() && f.unsuspected()
}

// hedgeDelay returns the time after which an attempt takes far longer than usual.
func (f *forwarder) hedgeDelay(now time.Time, stats *placement.Stats) time.Duration {
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	route := *p.routeStatsFor(f.route)
	request := &placement.Request{Route: route, ReceiveTime: p.inbound.Time(route.ResponseBytes)}
	expected := stats.ExpectedLatency(now, request, slowFactor)
	return max(expected, f.route.TargetLatency)
}

// startHedge starts a second attempt in parallel with a slow one. It returns nil if no
// target has free slots, a limit is reached, or this node is stopping.
func (f *forwarder) startHedge(ctx context.Context) *attempt {
	p := f.proxy
	now := p.ports.Clock.Now()
	if p.stopping.Load() || f.attempts >= maxAttempts || f.fullTargets >= maxFullTargets {
		return nil
	}
	next := f.choose(now)
	if next == nil || !p.hasFreeSlots(now, next) || !f.takeRetry(now, f.arrivals+1) {
		return nil
	}
	f.hedged = true
	return f.startAttempt(ctx, now, next)
}

// hasFreeSlots reports whether a target has a free slot by its last load report.
func (p *Proxy) hasFreeSlots(now time.Time, member *mesh.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats[member.ID]
	return stats != nil && stats.HasFreeSlot(now)
}

var errSlowerThanHedge = errors.New("another target responded first")

// awaitEither waits for the first successful response of two attempts. If one fails, its
// failure is recorded and the outcome of the other is the result.
func (f *forwarder) awaitEither(first, second *attempt, ended chan outcome) (*bufferedResponse, error) {
	o := <-ended
	resp, err := f.handleOutcome(o)
	if err != nil {
		f.recordFailure(resp, err)
		return f.handleOutcome(<-ended)
	}
	slower := first
	if o.attempt == first {
		slower = second
	} else {
		f.proxy.recordFailure(first.stats, loadReport{}, errSlowerThanHedge)
	}
	slower.cancel()
	go func() {
		unused := (<-ended).response
		if unused == nil {
			return
		}
		if unused.rest != nil {
			// Closing it unread ends the connection.
			_ = unused.rest.Close()
		}
		unused.release()
	}()
	return resp, nil
}
