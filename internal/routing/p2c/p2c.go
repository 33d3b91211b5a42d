// Package p2c picks the cheaper of two random candidates. Unlike picking the
// cheapest of all, it doesn't send every entry node to the same target while
// their knowledge is stale (Mitzenmacher, 2001).
package p2c

import (
	"math/rand/v2"

	"tamarackquay/internal/routing"
)

// Policy implements routing.Policy.
type Policy struct{}

var _ routing.Policy = Policy{}

// Pick implements routing.Policy. The two candidates always differ, so a bad
// one is taken only when its rival is worse.
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
