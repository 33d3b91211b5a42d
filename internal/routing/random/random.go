// Package random picks a random candidate regardless of cost. It serves as a
// baseline for comparisons.
package random

import (
	"math/rand/v2"

	"tamarackquay/internal/routing"
)

// Policy implements routing.Policy.
type Policy struct{}

var _ routing.Policy = Policy{}

// Pick implements routing.Policy.
func (Policy) Pick(group routing.Group, random *rand.Rand) int { return random.IntN(group.Len()) }
