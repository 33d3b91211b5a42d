// Package p2c implements the power of two choices: it picks the cheaper of two
// random candidates. Picking the cheapest of all candidates would send the
// requests of all entry nodes to the same target while their load information is
// stale (Mitzenmacher, 2001).
package p2c

import (
	"math/rand/v2"

	"tamarackquay/internal/routing"
)

// Policy implements routing.Policy.
type Policy struct{}

var _ routing.Policy = Policy{}

// Pick implements routing.Policy. The two candidates are always different, so an
// expensive one is picked only if the other one is not cheaper.
func (Policy) Pick(group routing.Group, random *rand.Rand) int {
	count := group.Len()
	if count == 1 {
		return 0
	}
	first := random.IntN(count)
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	if group.Cost(second) < group.Cost(first) {
		return second
	}
	return first
}
