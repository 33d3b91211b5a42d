//go:build !race

package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/quarantine"
)

const (
	// manyPerDomain makes a fleet of 296 nodes in two regions.
	manyPerDomain = 74
	// knownWithin is the bound for the quarantine after the third crash under a request.
	knownWithin = 3 * time.Second
	poison      = quarantine.Fingerprint(1 << 60)
)

// crashThreeTargets makes three nodes report one crash each, during which the poison
// request ran together with others.
func (w *world) crashThreeTargets(nodes []string) {
	for i, node := range nodes[:3] {
		suspects := []quarantine.Fingerprint{poison}
		for other := range quarantine.Fingerprint(11) {
			suspects = append(suspects, poison+100*quarantine.Fingerprint(i+1)+other)
		}
		w.reportCrash(node, uint64(i+1), suspects...)
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *world) nodesExcept(lost []string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var others []string
	for id := range w.nodes {
		if !slices.Contains(lost, id) {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	return others
}

// Guards against nodes of a large fleet that quarantine a request too late, and against
// notices that saturate small links.
func TestLargeFleetQuarantinesInTime(t *testing.T) {
	simulateFleet(t, largeBound, manyPerDomain, func(t *testing.T, w *world) {
		w.mu.Lock()
		w.linkRate = smallLink / 10
		w.mu.Unlock()
		random := rand.New(rand.NewPCG(1, 1))
		nodes := w.nodesExcept(nil)
		random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		w.takeSent()
		w.crashThreeTargets(nodes)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(w.notQuarantining(poison)), 0, "%v", w.notQuarantining(poison))
		most, _ := w.takeSent()
		heartbeats := 3 * fanout.FeedsPerVM * heartbeatBytes * 10
		assert.Assert(t, most-heartbeats <= 3*fanout.FeedsPerVM*3*200, "%d bytes", most)
	})
}

// Guards against a request that keeps crashing targets because the nodes between those that
// observe the crashes and the others are lost.
func TestCrashNoticesPropagateDespiteNodeLoss(t *testing.T) {
	for _, test := range []struct {
		desc        string
		part        float64
		withReaders bool
		lose        func(w *world, id string)
	}{
		{"a third cut off from everybody, the readers among them", 0.33, true, func(w *world, id string) { w.cut[id] = true }},
		{"a third rejected by the platform, the readers among them", 0.33, true, func(w *world, id string) { w.rejected[id] = true }},
		{"half of the processes end, the readers among them", 0.5, true, func(w *world, id string) {
			w.stops[id]()
			w.cut[id] = true
		}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(test.desc, " ", seed), func(t *testing.T) {
				simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
					random := rand.New(rand.NewPCG(seed, 1))
					lost := w.someNodes(random, test.part, test.withReaders)
					w.mu.Lock()
					for _, id := range lost {
						test.lose(w, id)
					}
					w.mu.Unlock()
					nodes := w.nodesExcept(lost)
					random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
					w.crashThreeTargets(nodes)
					time.Sleep(knownWithin)
					assert.Equal(t, len(w.notQuarantining(poison)), 0, "%v", w.notQuarantining(poison))
				})
			})
		}
	}
}

// Guards against restarted processes that don't receive the notices of earlier crashes.
func TestRestartedNodesReceiveCrashNotices(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		nodes := w.nodesExcept(nil)
		w.crashThreeTargets(nodes)
		time.Sleep(time.Second)
		for _, id := range nodes[:len(nodes)*3/5] {
			w.stops[id]()
		}
		time.Sleep(300 * time.Millisecond)
		for _, id := range nodes[:len(nodes)*3/5] {
			w.start(id)
		}
		time.Sleep(knownWithin)
		assert.Equal(t, len(w.notQuarantining(poison)), 0, "%v", w.notQuarantining(poison))
	})
}
