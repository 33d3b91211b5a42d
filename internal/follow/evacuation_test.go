package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evacuatedWithin is half of the users' bound of 5 s, within which nothing may be sent to an
// evacuated failure domain any more.
const evacuatedWithin = 2500 * time.Millisecond

// evacuationBound is the bound for changes in a deployment with evacuations.
const evacuationBound = 3 * time.Second

// notEvacuated returns the nodes, except those that are cut off, whose view of an evacuation
// differs from the given one.
func (w *world) notEvacuated(domain string, active bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for id, f := range w.nodes {
		f.mu.Lock()
		if f.view.Evacuated(domain) != active && !w.cut[id] {
			found = append(found, id)
		}
		f.mu.Unlock()
	}
	slices.Sort(found)
	return found
}

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

// Guards against missing the begin or the end of an evacuation that was changed while the
// platform was away and whose change it no longer holds.
func TestCompactionLosesNoEvacuation(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.evacuate("a1", true)
		time.Sleep(time.Second)
		w.failPlatform()
		time.Sleep(1200 * time.Millisecond)
		w.evacuate("a1", false)
		w.evacuate("b1", true)
		w.mu.Lock()
		w.compacted = w.revision
		clear(w.rejected)
		w.mu.Unlock()
		time.Sleep(activeWithin)
		assert.Equal(t, len(w.notEvacuated("a1", false)), 0)
		assert.Equal(t, len(w.notEvacuated("b1", true)), 0)
	})
}

// Guards against a node that starts during an evacuation and uses targets of the evacuated
// failure domain: its first view must contain the evacuation.
func TestFirstViewContainsEvacuation(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.evacuate("a1", true)
		time.Sleep(activeWithin)
		w.stops["a1-0"]()
		w.start("a1-0")
		f := w.nodes["a1-0"]
		for f.Age() < 0 {
			time.Sleep(time.Millisecond)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, f.view.Evacuated("a1"))
	})
}
