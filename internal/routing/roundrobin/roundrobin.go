// Package roundrobin picks candidates in turn regardless of cost. It serves as a
// baseline for comparisons.
package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"

	"tamarackquay/internal/routing"
)

// Policy implements routing.Policy.
type Policy struct{ next atomic.Uint64 }

var _ routing.Policy = (*Policy)(nil)

// Pick implements routing.Policy.
func (p *Policy) Pick(group routing.Group, _ *rand.Rand) int {
	return int((p.next.Add(1) - 1) % uint64(group.Len()))
}
