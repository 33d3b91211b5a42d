package routing

import "math/rand/v2"

// Group is a set of candidates at the same distance.
type Group interface {
	// Len returns the number of candidates, which is at least one.
	Len() int
	// Cost returns the cost of a candidate; lower is better.
	Cost(i int) float64
}

// Policy picks one candidate of a group. Implementations must be safe for
// concurrent use. The random source is owned by the caller and not safe for
// concurrent use.
type Policy interface {
	Pick(group Group, random *rand.Rand) int
}
