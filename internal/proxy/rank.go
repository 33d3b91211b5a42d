package proxy

import (
	"time"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// Ranks of requests that wait for a slot: by the priority of the route and, within a
// priority, requests that can still be answered in time first.
const (
	ranksPerPriority = 2
	rankLate         = 1
)

// urgency returns the position of a route among those of its priority: the shorter the
// target latency, the higher, with one step for each doubling of minLatency. Calls that
// targets make for a request have a shorter target latency than the request itself, so
// they go before new requests: a refused call wastes the work of its request, which
// already holds a slot.
func urgency(targetLatency time.Duration) int {
	steps := 0
	for limit := minLatency; limit < targetLatency && steps < admission.MaxDepth; limit *= 2 {
		steps++
	}
	return admission.MaxDepth - steps
}

// minLatency is the target latency below which all routes are equally urgent.
const minLatency = 40 * time.Millisecond

// lateWaitDivisor divides the target latency to give the wait of a request that can't be
// answered in time any more.
const lateWaitDivisor = 2

// unknownWorkDivisor divides the target latency to give the assumed work before any was
// observed. With an assumption of zero, the first requests after a restart waited for
// their whole target latency, and all requests behind them were late for seconds.
const unknownWorkDivisor = 3

// expectedHold returns how long a target is expected to hold a request of this route, and
// the expected response size. Waits based on the mean of all targets would make the
// responses of a slow target late, so the target's own speed counts. A fast target is no
// reason for longer waits.
func (f *forwarder) expectedHold(now time.Time, member *mesh.Member) (hold time.Duration, size int) {
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	routeStats := p.routeStatsFor(f.route)
	usual := routeStats.Hold
	if usual == 0 {
		usual = f.route.TargetLatency / unknownWorkDivisor
	}
	if stats := p.stats[member.ID]; stats != nil {
		return max(usual, stats.Hold(now, usual)), int(routeStats.ResponseBytes)
	}
	return usual, int(routeStats.ResponseBytes)
}

// rankAndSlack returns the rank of an attempt, and how long it may wait for a slot so that the
// response can still be in time; 0 if it can't.
func (f *forwarder) rankAndSlack(now time.Time, hold time.Duration) (int, time.Duration) {
	rank := f.route.Priority * ranksPerPriority
	if slack := f.dueIn(now) - time.Duration(placement.WorkMargin*float64(hold)); slack > 0 && !f.overdue(now) {
		return rank, slack
	}
	return rank + rankLate, 0
}

// newMeta returns the metadata of an attempt for the target's owner node. The first
// attempts wait as long as the response can still be in time; after refusals for lack of
// free slots, the wait is longer.
func (f *forwarder) newMeta(now time.Time, member *mesh.Member) attemptMeta {
	hold, size := f.expectedHold(now, member)
	rank, slack := f.rankAndSlack(now, hold)
	left := f.deadline.Sub(now)
	maxWait := left - time.Duration(placement.WorkMargin*float64(hold))
	meta := attemptMeta{
		attemptID: f.proxy.nextAttemptID(), route: f.route.Name, rank: rank,
		budget: left, dueIn: f.dueIn(now), responseSize: size, revision: member.Revision,
		urgency: urgency(f.route.TargetLatency), retryable: f.route.Kind.IsIdempotent(),
		retryProbability: f.retryProbability(), fingerprint: f.fingerprint,
	}
	meta.maxWait = slack
	if f.fullTargets >= extendWaitAfter || meta.maxWait == 0 {
		meta.maxWait = max(meta.maxWait, f.route.TargetLatency/lateWaitDivisor)
	}
	meta.maxWait = max(min(meta.maxWait, maxWait), 0)
	return meta
}
