// Package roundrobin picks candidates in turn, whatever their cost. It is a
// baseline.
package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"

	"tamarackquay/internal/routing"
)

// Policy implements routing.Policy.
type Policy struct{ turn atomic.Uint64 }

var _ routing.Policy = (*Policy)(nil)

// Pick implements routing.Policy.
func (p *Policy) Pick(group routing.Group, _ *rand.Rand) int {
	return int((p.turn.Add(1) - 1) % uint64(group.Len()))
}
