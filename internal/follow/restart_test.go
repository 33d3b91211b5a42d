package follow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// kill ends the processes of nodes at once.
func (w *world) kill(nodes []string) {
	for _, id := range nodes {
		w.stops[id]()
	}
}

// Nodes that others follow are killed right after a change, and restart 0.4 s later. Targets
// leave and evacuations begin or end meanwhile, so that the restarted nodes have no record of
// it. Guards against followers that keep what is gone for good, since they take over the
// revision of a node that can't tell them.
func TestChangesDuringRestartsReachFollowers(t *testing.T) {
	for _, test := range []struct {
		desc      string
		perDomain int
		lost      func(w *world) []string
	}{
		{"one reader", 3, func(w *world) []string { return w.readers()[:1] }},
		{"the reader of each region", 3, func(w *world) []string { return w.readers() }},
		{"both readers of each region", 3, func(w *world) []string { return w.firstRanked(readers) }},
		{"both readers of each region, chains", 15, func(w *world) []string { return w.firstRanked(readers) }},
		{"all sources of the last nodes of chains", 15, func(w *world) []string { return w.firstRanked(10) }},
	} {
		for _, removedAfter := range []time.Duration{0, 200 * time.Millisecond, 390 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", test.desc, removedAfter), func(t *testing.T) {
				simulateFleet(t, defaultPropagationBound, test.perDomain, func(t *testing.T, w *world) {
					w.evacuate("b1", true)
					time.Sleep(3 * time.Second)
					lost := test.lost(w)
					slices.Sort(lost)
					w.publish(2)
					time.Sleep(30 * time.Millisecond)
					w.kill(lost)
					time.Sleep(removedAfter)
					w.remove("a1-1")
					w.evacuate("b1", false)
					w.evacuate("a2", true)
					time.Sleep(400*time.Millisecond - removedAfter)
					for _, id := range lost {
						w.start(id)
					}
					time.Sleep(defaultPropagationBound + removedAfter - 400*time.Millisecond)
					used := w.nodesUsing("a1-1")
					assert.Equal(t, len(used), 0, "%v", used)
					assert.Equal(t, len(w.notEvacuated("b1", false)), 0, "%v", w.notEvacuated("b1", false))
					assert.Equal(t, len(w.notEvacuated("a2", true)), 0, "%v", w.notEvacuated("a2", true))
					assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
				})
			})
		}
	}
}

// Guards against a node whose view is older than its source's records of removals: the source
// can't tell which of the node's targets have left.
func TestLongCutOffNodeKeepsNoDepartedTarget(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		first := w.firstRanked(readers)
		candidates := slices.DeleteFunc([]string{"a1-0", "a1-2", "a2-0"}, func(id string) bool { return slices.Contains(first, id) })
		last := candidates[0]
		w.mu.Lock()
		w.cut[last] = true
		w.mu.Unlock()
		w.remove("a1-1")
		w.remove("b1-1")
		time.Sleep(2 * time.Minute)
		w.mu.Lock()
		delete(w.cut, last)
		w.rejected[last] = true
		w.mu.Unlock()
		time.Sleep(defaultPropagationBound + 2*time.Second)
		for _, target := range []string{"a1-1", "b1-1"} {
			used := w.nodesUsing(target)
			assert.Equal(t, len(used), 0, "%s, by %v", target, used)
		}
	})
}
