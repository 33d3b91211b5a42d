package proxy

import (
	"time"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// choose returns the usable target with the lowest cost that was not tried yet, or nil.
func (f *forwarder) choose(now time.Time) *mesh.Member {
	p := f.proxy
	f.restrictions = f.currentRestrictions()
	p.mu.Lock()
	defer p.mu.Unlock()
	route := *p.routeStatsFor(f.route)
	request := &placement.Request{
		Route: route, TimeLeft: f.dueIn(now), ReceiveTime: p.inbound.Time(route.ResponseBytes),
		LateWait: f.route.TargetLatency / lateWaitDivisor, Late: f.overdue(now),
		RequestBytes: float64(max(f.length, 0)), HalfBytes: p.config.HalfBytes,
	}
	if best := f.cheapest(now, request, false); best != nil || f.attempts > 0 {
		return best
	}
	// All targets are in backoff. The request isn't refused for that, since one of them
	// may accept requests again by now.
	return f.cheapest(now, request, true)
}

// candidate is a target that may be chosen.
type candidate struct {
	member *mesh.Member
	stats  *placement.Stats
}

// candidates holds the targets of one service by distance.
type candidates [placement.NumDistances][]candidate

// cheapest returns the eligible target with the lowest cost, or nil. Targets further away
// are examined only if they can cost less than the best of the nearer ones, since most
// targets of a service with several hundred are outside the failure domain. It must be
// called with the mutex held.
func (f *forwarder) cheapest(now time.Time, request *placement.Request, includeAvoided bool) *mesh.Member {
	var best *mesh.Member
	minCost := 0.0
	groups := f.proxy.candidates[f.service]
	if groups == nil {
		return nil
	}
	keepInRegion := f.proxy.config.KeepLargeInRegion && f.proxy.serviceLoadFor(f.service).KeepsInRegion(now, request.Route.ResponseBytes)
	for distance, group := range groups {
		if best != nil && minCost <= request.MinCost(placement.Distance(distance)) {
			break
		}
		if placement.Distance(distance) == placement.OtherRegion && (keepInRegion || f.lacksSlotsEverywhere(now)) && f.usableInRegion(now, groups) {
			break
		}
		for _, c := range group {
			if !f.eligible(now, c, includeAvoided) {
				continue
			}
			cost := c.stats.Cost(now, request) + tieBreak*f.proxy.random.Float64()
			if best == nil || cost < minCost {
				best, minCost = c.member, cost
			}
		}
	}
	return best
}

// lacksSlotsEverywhere reports whether the service is in a shortage, in which targets of other
// regions are as full as those of the entry node's region. It must be called with the mutex held.
func (f *forwarder) lacksSlotsEverywhere(now time.Time) bool {
	if f.shortage == nil {
		return false
	}
	_, short := f.inShortage(now)
	return short
}

// usableInRegion reports whether the entry node's region has a target that may run the request,
// tried or not. It must be called with the mutex held.
func (f *forwarder) usableInRegion(now time.Time, groups *candidates) bool {
	for _, group := range groups[:placement.OtherRegion] {
		for _, c := range group {
			if c.member.Usable(now) && f.allowsDomain(c.member.FailureDomain) && c.stats.Available(now) && !c.stats.Failing(now) && !f.proxy.isUnreachable(c.member) {
				return true
			}
		}
	}
	return false
}

// eligible reports whether a target may get the next attempt. If includeAvoided is set,
// targets in backoff, targets with unreachable nodes and targets that have just reported that
// they leave are eligible as well.
func (f *forwarder) eligible(now time.Time, c candidate, includeAvoided bool) bool {
	if f.tried[c.member.ID] || !c.member.Usable(now) || !f.allowsDomain(c.member.FailureDomain) {
		return false
	}
	if since := f.proxy.peerReports.leavingSince(c.member); !since.IsZero() {
		return includeAvoided && f.began.Before(since.Add(f.proxy.config.DrainGrace))
	}
	return includeAvoided || c.stats.Available(now) && !f.proxy.isUnreachable(c.member)
}

// currentRestrictions returns the versions of the route that restrict its regions: that of the
// configuration with which the request began, and that of the active one. While a change of
// the regions spreads, the request keeps to both.
func (f *forwarder) currentRestrictions() []*mesh.Route {
	var restrictions []*mesh.Route
	if len(f.route.Regions) > 0 {
		restrictions = append(restrictions, f.route)
	}
	active := f.proxy.snapshot.Load().Table.Restricted(f.route.Name)
	if active != nil && active != f.route {
		restrictions = append(restrictions, active)
	}
	return restrictions
}

// allowsDomain reports whether the request may run in a failure domain.
func (f *forwarder) allowsDomain(domain string) bool {
	for _, route := range f.restrictions {
		if !route.AllowsRegion(f.proxy.config.Regions[domain]) {
			return false
		}
	}
	return true
}

// tieBreak is the random part of a cost. Without it, nodes with the same information
// about two equal targets would all choose the same one.
const tieBreak = 0.02

// dueIn returns the time left to meet the target latency; once that has passed, the time
// left until the deadline.
func (f *forwarder) dueIn(now time.Time) time.Duration {
	left := f.deadline.Sub(now)
	if f.route.TargetLatency <= 0 || f.overdue(now) {
		return left
	}
	return min(left, f.firstAt.Add(f.route.TargetLatency).Sub(now))
}

// initialDownloadBytes is the assumed size of a download until one was observed, so that
// the first downloads don't leave the failure domain either.
const initialDownloadBytes = 100e3

// routeStatsFor returns the statistics of a route. It must be called with the mutex held.
func (p *Proxy) routeStatsFor(route *mesh.Route) *placement.RouteStats {
	routeStats := p.routeStats[route.Name]
	if routeStats == nil {
		routeStats = &placement.RouteStats{}
		if route.Kind == mesh.Download {
			routeStats.ResponseBytes = initialDownloadBytes
		}
		p.routeStats[route.Name] = routeStats
	}
	return routeStats
}
