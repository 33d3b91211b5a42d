package proxy

import (
	"time"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// choose returns the cheapest usable target that was not tried, or nil.
func (f *flight) choose(now time.Time) *mesh.Member {
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	request := &placement.Request{
		Work: *p.workOf(f.route), Left: f.wanted(now),
		Sent: float64(max(f.length, 0)), HalfBytes: p.config.HalfBytes,
	}
	if best := f.cheapest(now, request, false); best != nil || f.offers > 0 {
		return best
	}
	// All are left alone for the moment. That is no reason to refuse a request
	// which one of them may take by now.
	return f.cheapest(now, request, true)
}

// cheapest must be called with the proxy's mutex held.
func (f *flight) cheapest(now time.Time, request *placement.Request, avoided bool) *mesh.Member {
	p := f.proxy
	var best *mesh.Member
	least := 0.0
	for _, member := range f.picture.Services[f.service] {
		stats := p.stats[member.ID]
		if f.tried[member.ID] || stats == nil || !member.Usable(now) || !avoided && (!stats.Available(now) || p.isAway(member)) {
			continue
		}
		cost := stats.Cost(now, request) + tieBreak*p.random.Float64()
		if best == nil || cost < least {
			best, least = member, cost
		}
	}
	return best
}

// tieBreak is the random part of a cost: nodes that know the same of two equal
// targets would otherwise all take the same one.
const tieBreak = 0.02

// wanted is the time in which the answer is still worth its full credit; past
// it, the time in which it is worth anything.
func (f *flight) wanted(now time.Time) time.Duration {
	left := f.deadline.Sub(now)
	if f.route.TargetLatency <= 0 || f.overdue(now) {
		return left
	}
	return min(left, f.first.Add(f.route.TargetLatency).Sub(now))
}

// firstDownload is the size that a download is taken for until one was seen, so
// that the first ones don't leave the failure domain either.
const firstDownload = 100e3

// workOf must be called with the mutex held.
func (p *Proxy) workOf(route *mesh.Route) *placement.Work {
	work := p.work[route.Name]
	if work == nil {
		work = &placement.Work{}
		if route.Kind == mesh.Download {
			work.Bytes = firstDownload
		}
		p.work[route.Name] = work
	}
	return work
}
