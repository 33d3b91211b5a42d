package admission

import (
	"math/rand/v2"
	"slices"
)

// Placement determines where a request waits and how its target is chosen.
type Placement string

// The placements.
const (
	// PlaceRandom waits at a random target.
	PlaceRandom Placement = "owner-random"
	// PlaceTwoChoices waits at the less loaded of two random targets, by the calls
	// that the entry has in flight.
	PlaceTwoChoices Placement = "owner-two-choices"
	// PlaceCredits divides every target's slots among the entries. Requests wait at
	// their entry for one of its credits.
	PlaceCredits Placement = "entry-credits"
	// PlaceTryNext never waits: a request refused for lack of a free slot tries the
	// next target.
	PlaceTryNext Placement = "refuse-and-try-next"
	// PlaceProbe tries two targets without waiting, then waits at one.
	PlaceProbe Placement = "probe-then-owner"
	// PlaceNear tries the entry's own failure domain, then its region, then waits at
	// any target.
	PlaceNear Placement = "near-then-anywhere"
	// PlaceInRegion only uses targets in the entry's region.
	PlaceInRegion Placement = "region-only"
)

// Placements are the placements that are compared for all requests.
var Placements = []Placement{PlaceRandom, PlaceTwoChoices, PlaceCredits, PlaceTryNext, PlaceProbe}

const (
	// maxProbes is the number of targets that are tried without waiting.
	maxProbes = 2
	// maxWaits is the number of targets whose queue is then tried.
	maxWaits = 1
)

// domainsPerRegion is the number of entries, and of targets, in a region.
const domainsPerRegion = 2

var entriesOfRegion = []int{0, 1}

// chooser chooses targets as entry nodes do: each entry counts only its own calls in
// flight.
type chooser struct {
	placement   Placement
	targets     int
	partitioned bool
	inFlight    [][]int
	random      *rand.Rand
}

func newChooser(s *scenario, random *rand.Rand) *chooser {
	c := &chooser{placement: s.placement, targets: s.deployment.Targets, partitioned: s.partitioned, random: random}
	c.inFlight = make([][]int, c.targets)
	for entry := range c.inFlight {
		c.inFlight[entry] = make([]int, c.targets)
	}
	return c
}

// offer is one attempt: a target, and whether the call may wait there.
type offer struct {
	target int
	noWait bool
}

// next returns the call's next attempt, or false if none is left.
func (c *chooser) next(call *call) (offer, bool) {
	attempt := len(call.offers)
	switch c.placement {
	case PlaceCredits:
		return offer{target: call.entry}, attempt == 0
	case PlaceTryNext:
		return c.pick(call, true, anywhere, c.lessLoadedOfTwo)
	case PlaceRandom:
		return c.pick(call, false, anywhere, c.randomTarget)
	case PlaceTwoChoices:
		return c.pick(call, false, anywhere, c.lessLoadedOfTwo)
	case PlaceInRegion:
		return c.pick(call, false, inRegion, c.lessLoadedOfTwo)
	case PlaceNear:
		if attempt == 0 {
			return offer{target: call.entry, noWait: true}, true
		}
		if attempt == 1 {
			return c.pick(call, true, inRegion, c.lessLoadedOfTwo)
		}
	}
	return c.pick(call, attempt < maxProbes, anywhere, c.lessLoadedOfTwo)
}

// pick returns an offer to an allowed target, or false if no attempts of that kind are
// left. A target without a free slot remains a candidate for waiting: the customer's
// guarantee may apply in its queue.
func (c *chooser) pick(call *call, noWait bool, allowed reachFunc, choose func(*call, []int) int) (offer, bool) {
	tried := 0
	var list []int
	for _, o := range call.offers {
		if o.noWait == noWait {
			tried++
		}
	}
	for target := range c.targets {
		if allowed(c, call.entry, target) && !slices.Contains(call.offers, offer{target, noWait}) {
			list = append(list, target)
		}
	}
	if len(list) == 0 || !noWait && tried >= maxWaits {
		return offer{}, false
	}
	return offer{target: choose(call, list), noWait: noWait}, true
}

// reachFunc reports whether an entry may choose a target.
type reachFunc func(c *chooser, entry, target int) bool

// anywhere allows every target that the entry can reach.
func anywhere(c *chooser, entry, target int) bool {
	half := c.targets / 2
	return !c.partitioned || entry/half == target/half
}

func inRegion(_ *chooser, entry, target int) bool {
	return target/domainsPerRegion == entry/domainsPerRegion
}

func (c *chooser) randomTarget(_ *call, list []int) int { return list[c.random.IntN(len(list))] }

func (c *chooser) lessLoadedOfTwo(call *call, list []int) int {
	first := list[c.random.IntN(len(list))]
	second := list[c.random.IntN(len(list))]
	if c.inFlight[call.entry][second] < c.inFlight[call.entry][first] {
		return second
	}
	return first
}
