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
		Route: *p.workOf(f.route), TimeLeft: f.wanted(now),
		RequestBytes: float64(max(f.length, 0)), HalfBytes: p.config.HalfBytes,
	}
	if best := f.cheapest(now, request, false); best != nil || f.offers > 0 {
		return best
	}
	// All are left alone for the moment. That is no reason to refuse a request
	// which one of them may take by now.
	return f.cheapest(now, request, true)
}

// candidate is a target that may be chosen.
type candidate struct {
	member *mesh.Member
	stats  *placement.Stats
}

// candidates are the targets of one service by distance.
type candidates [placement.NumDistances][]candidate

// cheapest must be called with the proxy's mutex held. Targets further away are looked at
// only if they can be cheaper than the best of the nearer ones: a service of some hundred
// targets has most of them outside.
func (f *flight) cheapest(now time.Time, request *placement.Request, avoided bool) *mesh.Member {
	var best *mesh.Member
	least := 0.0
	groups := f.proxy.candidates[f.service]
	if groups == nil {
		return nil
	}
	for distance, group := range groups {
		if best != nil && least <= request.MinCost(placement.Distance(distance)) {
			break
		}
		for _, c := range group {
			if !f.mayChoose(now, c, avoided) {
				continue
			}
			cost := c.stats.Cost(now, request) + tieBreak*f.proxy.random.Float64()
			if best == nil || cost < least {
				best, least = c.member, cost
			}
		}
	}
	return best
}

func (f *flight) mayChoose(now time.Time, c candidate, avoided bool) bool {
	if f.tried[c.member.ID] || !c.member.Usable(now) {
		return false
	}
	return avoided || c.stats.Available(now) && !f.proxy.isAway(c.member)
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
func (p *Proxy) workOf(route *mesh.Route) *placement.RouteStats {
	work := p.work[route.Name]
	if work == nil {
		work = &placement.RouteStats{}
		if route.Kind == mesh.Download {
			work.ResponseBytes = firstDownload
		}
		p.work[route.Name] = work
	}
	return work
}
