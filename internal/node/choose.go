package node

import (
	"slices"
	"time"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/routing"
)

// candidates is a group of targets with the inputs of their cost. It implements
// routing.Group.
type candidates struct {
	targets   []*target
	now       time.Time
	slowStart time.Duration
}

// Len implements routing.Group.
func (c *candidates) Len() int { return len(c.targets) }

// Cost implements routing.Group.
func (c *candidates) Cost(i int) float64 { return c.targets[i].cost(c.now, c.slowStart) }

// choose returns the target for the next attempt, or nil if none is left. It
// prefers targets at minDistance or farther, the nearest of them first, then
// nearer ones, and as a last resort targets that are ejected or in backoff.
// Without the last resort, a wrong ejection would refuse requests that could be
// served.
func (f *forwarder) choose(now time.Time, minDistance routing.Distance) *target {
	p := f.node.targets.targets(now, f.upstreams, f.call.Service, f.node.view.Load())
	for distance := minDistance; distance <= routing.OtherRegion; distance++ {
		if t := f.pick(now, p.groups[distance], distance, true); t != nil {
			return t
		}
	}
	for distance := routing.SameDomain; distance < minDistance; distance++ {
		if t := f.pick(now, p.groups[distance], distance, true); t != nil {
			return t
		}
	}
	for distance := routing.SameDomain; distance <= routing.OtherRegion; distance++ {
		if t := f.pick(now, p.groups[distance], distance, false); t != nil {
			return t
		}
	}
	return nil
}

func (f *forwarder) pick(now time.Time, group []*target, distance routing.Distance, available bool) *target {
	if len(group) == 0 || !routing.Within(f.route.Spill, distance) {
		return nil
	}
	var buffer [routing.SubsetSize]*target
	eligible := buffer[:0]
	for _, t := range group {
		if !slices.Contains(f.tried, t) && f.route.AllowsDomain(t.vm.FailureDomain) && (!available || t.available(now)) {
			eligible = append(eligible, t)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	choice := &candidates{targets: eligible, now: now, slowStart: f.slowStart}
	f.node.randomMu.Lock()
	defer f.node.randomMu.Unlock()
	return eligible[f.node.config.Policy.Pick(choice, f.node.random)]
}

// slowStart returns how long the service's cold targets take to reach full
// weight.
func slowStart(service *contract.Service) time.Duration {
	if service == nil {
		return 0
	}
	return service.SlowStart.Std()
}
