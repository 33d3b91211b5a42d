// Package routing decides which target serves a request, what an attempt's
// outcome promises, and whether another attempt may be made. The package is
// pure; random numbers come from a source that is handed in.
package routing

import (
	"math/rand/v2"
	"slices"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/membership"
)

// Place is where a node stands.
type Place struct {
	FailureDomain string
	Region        string
}

// Distance orders targets by the cost of reaching them.
type Distance uint8

// The distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns how far the VM is.
func (p Place) DistanceTo(vm membership.VM) Distance {
	switch {
	case vm.FailureDomain == p.FailureDomain:
		return SameDomain
	case vm.Region == p.Region:
		return SameRegion
	}
	return OtherRegion
}

// within reports whether a route's spill lets a request go that far.
func within(spill contract.Spill, distance Distance) bool {
	switch spill {
	case contract.SpillDomain:
		return distance == SameDomain
	case contract.SpillRegion:
		return distance <= SameRegion
	}
	return true
}

// Choose returns the target for the next attempt: the nearest group that has a
// target not yet tried, and within it the less loaded of two random ones. It
// reports false when none is left.
func Choose(from Place, targets []membership.VM, spill contract.Spill, tried []string, load func(id string) int, random *rand.Rand) (membership.VM, bool) {
	var nearest []membership.VM
	best := OtherRegion + 1
	for _, vm := range targets {
		distance := from.DistanceTo(vm)
		if !within(spill, distance) || slices.Contains(tried, vm.ID) || distance > best {
			continue
		}
		if distance < best {
			best = distance
			nearest = nearest[:0]
		}
		nearest = append(nearest, vm)
	}
	if len(nearest) == 0 {
		return membership.VM{}, false
	}
	first := nearest[random.IntN(len(nearest))]
	second := nearest[random.IntN(len(nearest))]
	if load(second.ID) < load(first.ID) {
		return second, true
	}
	return first, true
}

// Outcome is what is known of an attempt once it is over.
type Outcome uint8

// The outcomes.
const (
	// Answered: the target answered, whatever the status.
	Answered Outcome = iota + 1
	// DidNotRun: it is proven that the target ran nothing.
	DidNotRun
	// Unknown: the target may have run the request.
	Unknown
)

// MayRetry reports whether another attempt may follow. A request that isn't
// idempotent and may have run is never sent again: the second run would bill
// a town twice.
func MayRetry(outcome Outcome, idempotent bool) bool {
	switch outcome {
	case DidNotRun:
		return true
	case Unknown:
		return idempotent
	}
	return false
}
