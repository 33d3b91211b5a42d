// Package routing decides which target serves a request, classifies the outcomes
// of attempts, and decides whether another attempt may be made. The package is
// pure; callers pass in the source of random numbers.
package routing

import (
	"tamarackquay/internal/contract"
	"tamarackquay/internal/membership"
)

// Locality is the location of a node.
type Locality struct {
	FailureDomain string
	Region        string
}

// Distance is the distance of a target, a measure of the cost of reaching it.
type Distance uint8

// The distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance to the VM.
func (p Locality) DistanceTo(vm membership.VM) Distance {
	switch {
	case vm.FailureDomain == p.FailureDomain:
		return SameDomain
	case vm.Region == p.Region:
		return SameRegion
	}
	return OtherRegion
}

// Within reports whether a route's spill permits targets at the distance.
func Within(spill contract.Spill, distance Distance) bool {
	switch spill {
	case contract.SpillDomain:
		return distance == SameDomain
	case contract.SpillRegion:
		return distance <= SameRegion
	}
	return true
}

// Outcome is the result of a finished attempt as far as it is known.
type Outcome uint8

// The outcomes.
const (
	// Answered: the target sent a response, with any status.
	Answered Outcome = iota + 1
	// DidNotRun: the target is proven not to have run the request.
	DidNotRun
	// Unknown: the target may have run the request.
	Unknown
)

// MayRetry reports whether another attempt may follow. A request that isn't
// idempotent and may have run is never sent again: running it a second time could,
// for example, bill a town twice.
func MayRetry(outcome Outcome, idempotent bool) bool {
	switch outcome {
	case DidNotRun:
		return true
	case Unknown:
		return idempotent
	}
	return false
}

// NextDistance returns the minimum distance for the next attempt, after an attempt
// at distance last. A target that was full had already been the less loaded of two
// candidates, so other targets at that distance are probably full too and the next
// attempt goes further away. A target that failed gives no such information about
// the others.
func NextDistance(last Distance, full bool) Distance {
	if full && last < OtherRegion {
		return last + 1
	}
	return last
}
