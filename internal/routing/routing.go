// Package routing decides which target serves a request, what an attempt's
// outcome promises, and whether another attempt may be made. The package is
// pure; random numbers come from a source that is handed in.
package routing

import (
	"tamarackquay/internal/contract"
	"tamarackquay/internal/membership"
)

// Place is where a node stands.
type Locality struct {
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
func (p Locality) DistanceTo(vm membership.VM) Distance {
	switch {
	case vm.FailureDomain == p.FailureDomain:
		return SameDomain
	case vm.Region == p.Region:
		return SameRegion
	}
	return OtherRegion
}

// Within reports whether a route's spill lets a request go that far.
func Within(spill contract.Spill, distance Distance) bool {
	switch spill {
	case contract.SpillDomain:
		return distance == SameDomain
	case contract.SpillRegion:
		return distance <= SameRegion
	}
	return true
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

// NextDistance is the least distance for the attempt after one that went as
// far as last. A target that had no room was already the less loaded of two,
// so its neighbours are likely full too and the request goes further; one that
// failed says nothing about its neighbours.
func NextDistance(last Distance, full bool) Distance {
	if full && last < OtherRegion {
		return last + 1
	}
	return last
}
