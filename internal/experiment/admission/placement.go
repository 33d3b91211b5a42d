package admission

import (
	"math/rand/v2"
	"slices"
)

// Placement is where a request waits and how its target is chosen.
type Placement string

// The placements.
const (
	// PlaceRandom waits at a target chosen at random.
	PlaceRandom Placement = "owner-random"
	// PlaceTwo waits at the less loaded of two, by what the entry has open.
	PlaceTwoChoices Placement = "owner-two-choices"
	// PlaceCredits splits every target's slots among the entries; requests
	// wait at their entry for one of its credits.
	PlaceCredits Placement = "entry-credits"
	// PlaceNext waits nowhere: refused where no slot is free, try the next.
	PlaceTryNext Placement = "refuse-and-try-next"
	// PlaceProbe tries two targets without waiting, then waits at a third.
	PlaceProbe Placement = "probe-then-owner"
	// PlaceNear probes the entry's own domain, then its region, then waits at
	// any target.
	PlaceNear Placement = "near-then-anywhere"
	// PlaceRegion never leaves the entry's region.
	PlaceInRegion Placement = "region-only"
)

// Placements are those that compete for all requests.
var Placements = []Placement{PlaceRandom, PlaceTwoChoices, PlaceCredits, PlaceTryNext, PlaceProbe}

const (
	// probes is how many targets are tried without waiting.
	probes = 2
	// maxWaits is how many targets are then asked for a place in the queue.
	maxWaits = 1
)

// domainsPerRegion is how many entries, and targets, share a region.
const domainsPerRegion = 2

var entriesOfRegion = []int{0, 1}

// chooser picks targets as an entry node does: it knows only the calls that it
// has open itself.
type chooser struct {
	placement Placement
	targets   int
	cut       bool
	open      [][]int
	random    *rand.Rand
}

func newChooser(s *scenario, random *rand.Rand) *chooser {
	c := &chooser{placement: s.placement, targets: s.deployment.Targets, cut: s.cut, random: random}
	c.open = make([][]int, c.targets)
	for entry := range c.open {
		c.open[entry] = make([]int, c.targets)
	}
	return c
}

// offer is one attempt: a target, and whether the call may wait there.
type offer struct {
	target int
	noWait bool
}

// next returns the call's next attempt, or false when none is left.
func (c *chooser) next(call *call) (offer, bool) {
	attempt := len(call.offers)
	switch c.placement {
	case PlaceCredits:
		return offer{target: call.entry}, attempt == 0
	case PlaceTryNext:
		return c.pick(call, true, anywhere, c.two)
	case PlaceRandom:
		return c.pick(call, false, anywhere, c.one)
	case PlaceTwoChoices:
		return c.pick(call, false, anywhere, c.two)
	case PlaceInRegion:
		return c.pick(call, false, inRegion, c.two)
	case PlaceNear:
		if attempt == 0 {
			return offer{target: call.entry, noWait: true}, true
		}
		if attempt == 1 {
			return c.pick(call, true, inRegion, c.two)
		}
	}
	return c.pick(call, attempt < probes, anywhere, c.two)
}

// pick makes an offer to a reachable target, or reports false when the attempts
// of that kind are spent. A target that had no free slot is a candidate for
// waiting still: its queue may hold the customer's guarantee.
func (c *chooser) pick(call *call, noWait bool, allowed reach, choose func(*call, []int) int) (offer, bool) {
	made := 0
	var list []int
	for _, o := range call.offers {
		if o.noWait == noWait {
			made++
		}
	}
	for target := range c.targets {
		if allowed(c, call.entry, target) && !slices.Contains(call.offers, offer{target, noWait}) {
			list = append(list, target)
		}
	}
	if len(list) == 0 || !noWait && made >= maxWaits {
		return offer{}, false
	}
	return offer{target: choose(call, list), noWait: noWait}, true
}

// reach tells which targets an entry may choose.
type reach func(c *chooser, entry, target int) bool

// anywhere is every target that the entry can reach.
func anywhere(c *chooser, entry, target int) bool {
	half := c.targets / 2
	return !c.cut || entry/half == target/half
}

func inRegion(_ *chooser, entry, target int) bool {
	return target/domainsPerRegion == entry/domainsPerRegion
}

func (c *chooser) one(_ *call, list []int) int { return list[c.random.IntN(len(list))] }

func (c *chooser) two(call *call, list []int) int {
	first := list[c.random.IntN(len(list))]
	second := list[c.random.IntN(len(list))]
	if c.open[call.entry][second] < c.open[call.entry][first] {
		return second
	}
	return first
}
