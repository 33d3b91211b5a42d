//go:build !race

package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evacuatedWithin is half of the users' bound of 5 s, within which nothing may be sent to an
// evacuated failure domain any more.
const evacuatedWithin = 2500 * time.Millisecond

// evacuationBound is the bound for changes in a deployment with evacuations.
const evacuationBound = 3 * time.Second

// Guards against nodes that learn of an evacuation or of its end too late because the readers,
// and other nodes between them and the platform, are lost.
func TestEvacuationPropagatesDespiteNodeLoss(t *testing.T) {
	for _, test := range []struct {
		desc string
		part float64
		lose func(w *world, id string)
	}{
		{"nothing is broken", 0, func(*world, string) {}},
		{"a third cut off from everybody", 0.33, func(w *world, id string) { w.cut[id] = true }},
		{"a third rejected by the platform", 0.33, func(w *world, id string) { w.rejected[id] = true }},
		{"half of the processes end", 0.5, func(w *world, id string) {
			w.stops[id]()
			w.cut[id] = true
		}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(test.desc, " ", seed), func(t *testing.T) {
				simulateFleet(t, evacuationBound, largePerDomain, func(t *testing.T, w *world) {
					random := rand.New(rand.NewPCG(seed, 1))
					lost := w.someNodes(random, test.part, true)
					w.mu.Lock()
					for _, id := range lost {
						test.lose(w, id)
					}
					w.mu.Unlock()
					w.evacuate("a1", true)
					w.evacuate("b2", true)
					time.Sleep(evacuatedWithin)
					assert.Equal(t, len(w.notEvacuated("a1", true)), 0)
					assert.Equal(t, len(w.notEvacuated("b2", true)), 0)
					w.evacuate("a1", false)
					w.publish(2)
					time.Sleep(evacuatedWithin)
					assert.Equal(t, len(w.notEvacuated("a1", false)), 0)
					assert.Equal(t, len(w.notEvacuated("b2", true)), 0)
				})
			})
		}
	}
}
