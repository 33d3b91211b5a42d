package routing

import "math/rand/v2"

// Group is a set of candidates that are equally far away.
type Group interface {
	// Len is at least one.
	Len() int
	// Cost compares candidates; the lower is better.
	Cost(i int) float64
}

// Policy picks one candidate of a group. Implementations are safe for
// concurrent use; the random source is not, and belongs to the caller.
type Policy interface {
	Pick(group Group, random *rand.Rand) int
}
