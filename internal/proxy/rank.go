package proxy

import (
	"time"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/mesh"
)

// Ranks of requests that wait for a slot: by the route's priority, and within it
// those first that can still be answered in time.
const (
	ranksPerPriority = 2
	rankLate         = 1
)

// urgency is the place of a route among those of its priority: the shorter its
// target latency the earlier, a step for each doubling from leastLatency on. The
// calls that targets make for a request are wanted in a part of the time that the
// request has, so they go before new requests: a call that is refused wastes the
// work of the request that it was made for, which has a slot already.
func urgency(targetLatency time.Duration) int {
	steps := 0
	for limit := leastLatency; limit < targetLatency && steps < admission.MaxDepth; limit *= 2 {
		steps++
	}
	return admission.MaxDepth - steps
}

// leastLatency is the target latency below which all are equally urgent.
const leastLatency = 40 * time.Millisecond

// workMargin is how many times the usual work must fit behind a wait: a request
// that starts with less is likely cut at its deadline, and its work is wasted.
const workMargin = 1.5

// lateWaitPart is the part of the target latency for which a request waits that
// can't be in time any more: one in so many.
const lateWaitPart = 2

// unknownWorkPart is the part of the target latency that the usual work is taken
// for before any was seen: one in so many. Taken for nothing, it let the first
// requests after a restart wait for their whole target latency, and everything
// behind them was late for seconds.
const unknownWorkPart = 3

// usualHold is how long a target is expected to hold a request of this route. A
// wait that fits the mean of all targets makes the answers of a slow one late, so
// its own speed counts; a fast one is no reason for longer waits.
func (f *flight) usualHold(now time.Time, member *mesh.Member) (hold time.Duration, size int) {
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	work := p.workOf(f.route)
	usual := work.Hold
	if usual == 0 {
		usual = f.route.TargetLatency / unknownWorkPart
	}
	if stats := p.stats[member.ID]; stats != nil {
		return max(usual, stats.Hold(now, usual)), int(work.ResponseBytes)
	}
	return usual, int(work.ResponseBytes)
}

// terms are what the owner node of a target is told. A first offer waits as long
// as the answer can still come in time; once nodes have refused that, it waits
// longer.
func (f *flight) terms(now time.Time, member *mesh.Member) terms {
	hold, size := f.usualHold(now, member)
	left := f.deadline.Sub(now)
	most := left - time.Duration(workMargin*float64(hold))
	t := terms{
		attempt: f.proxy.nextAttempt(now), route: f.route.Name, rank: f.route.Priority * ranksPerPriority,
		budget: left, wanted: f.wanted(now), size: size, revision: member.Revision,
		urgency: urgency(f.route.TargetLatency), repeatable: f.route.Kind.Repeatable(),
		repeated: f.repeatPart(), fingerprint: f.fingerprint,
	}
	if early := t.wanted - time.Duration(workMargin*float64(hold)); early > 0 && !f.overdue(now) {
		t.wait = early
	} else {
		t.rank += rankLate
	}
	if f.full >= fullSoon || t.wait == 0 {
		t.wait = max(t.wait, f.route.TargetLatency/lateWaitPart)
	}
	t.wait = max(min(t.wait, most), 0)
	return t
}
