package node

import (
	"slices"
	"time"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/routing"
)

// candidates is a group of targets with what their cost depends on. It
// implements routing.Group.
type candidates struct {
	targets   []*target
	now       time.Time
	slowStart time.Duration
}

// Len implements routing.Group.
func (c *candidates) Len() int { return len(c.targets) }

// Cost implements routing.Group.
func (c *candidates) Cost(i int) float64 { return c.targets[i].cost(c.now, c.slowStart) }

// choose returns the target for the next attempt, or nil when none is left:
// the nearest from the least distance on, then a nearer one, and as a last
// resort one that is ejected or said that it takes no work. The last resort
// keeps a wrong ejection from refusing what could be served.
func (f *flight) choose(now time.Time, least routing.Distance) *target {
	p := f.node.targets.targets(now, f.upstreams, f.call.Service, f.node.view.Load())
	for distance := least; distance <= routing.OtherRegion; distance++ {
		if t := f.pick(now, p.groups[distance], distance, true); t != nil {
			return t
		}
	}
	for distance := routing.SameDomain; distance < least; distance++ {
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

func (f *flight) pick(now time.Time, group []*target, distance routing.Distance, available bool) *target {
	if len(group) == 0 || !routing.Within(f.route.Spill, distance) {
		return nil
	}
	var buffer [routing.SubsetSize]*target
	left := buffer[:0]
	for _, t := range group {
		if !slices.Contains(f.tried, t) && (!available || t.available(now)) {
			left = append(left, t)
		}
	}
	if len(left) == 0 {
		return nil
	}
	choice := &candidates{targets: left, now: now, slowStart: f.slowStart}
	f.node.randomMu.Lock()
	defer f.node.randomMu.Unlock()
	return left[f.node.config.Policy.Pick(choice, f.node.random)]
}

// slowStartOf is how long the service's cold targets take to reach full weight.
func slowStartOf(service *contract.Service) time.Duration {
	if service == nil {
		return 0
	}
	return service.SlowStart.Std()
}
