package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// stabilityWindow is the time after its interruption in which a node may be late.
const stabilityWindow = 3 * time.Second

// departure is a target that has left, and when the platform knew it.
type departure struct {
	target string
	at     time.Time
}

// Some nodes are cut off or rejected by the platform for up to 5.5 s, and targets leave one after
// another before, during and after it. Guards against nodes that use a target for longer than the
// bound, because they, or the nodes that they follow, take their own interruption for an outage of
// the platform.
func TestInterruptedNodesKeepNoDepartedTarget(t *testing.T) {
	const seeds = 60
	for _, interruption := range []struct {
		desc  string
		nodes func(w *world) map[string]bool
	}{
		{"cut off", func(w *world) map[string]bool { return w.cut }},
		{"rejected", func(w *world) map[string]bool { return w.rejected }},
	} {
		for _, state := range []mesh.TargetState{mesh.Draining, 0} {
			t.Run(fmt.Sprintf("%s, state %d", interruption.desc, state), func(t *testing.T) {
				var found []string
				for seed := range uint64(seeds) {
					simulate(t, func(t *testing.T, w *world) {
						random := rand.New(rand.NewPCG(seed, 1))
						if late := w.departDuringInterruption(random, interruption.nodes(w), state); late != "" {
							found = append(found, fmt.Sprintf("seed %d: %s", seed, late))
						}
					})
				}
				assert.Check(t, len(found) == 0, "%d of %d seeds, %v", len(found), seeds, found)
			})
		}
	}
}

// interruptedNodes draws half of the first nodes of each region, and a quarter of the others.
func (w *world) interruptedNodes(random *rand.Rand) []string {
	first := w.firstRanked(readers)
	var drawn []string
	for _, id := range w.sortedNodes() {
		if number := random.Float64(); number < 0.25 || number < 0.5 && slices.Contains(first, id) {
			drawn = append(drawn, id)
		}
	}
	return drawn
}

// departDuringInterruption interrupts some nodes and lets targets leave: by removal of their
// entries, or by the given state. It returns the first use of a target beyond the bound by a node
// that has not been interrupted for the stability window.
func (w *world) departDuringInterruption(random *rand.Rand, interrupted map[string]bool, state mesh.TargetState) string {
	lost := w.interruptedNodes(random)
	length := time.Duration(500+random.IntN(5000)) * time.Millisecond
	order := w.sortedNodes()
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	w.mu.Lock()
	for _, id := range lost {
		interrupted[id] = true
	}
	w.mu.Unlock()
	const step, observed = 50 * time.Millisecond, 9 * time.Second
	var left []departure
	begin := time.Now()
	for time.Since(begin) < length+observed {
		time.Sleep(step)
		if time.Since(begin) >= length {
			w.mu.Lock()
			clear(interrupted)
			w.mu.Unlock()
		}
		if random.IntN(20) == 0 && len(left) < len(order)/2 && time.Since(begin) < length+observed/2 {
			id := order[len(left)]
			w.depart(id, state)
			left = append(left, departure{id, time.Now()})
		}
		for _, d := range left {
			for _, id := range w.nodesUsing(d.target) {
				if late := time.Since(d.at); late > defaultPropagationBound && !(slices.Contains(lost, id) && time.Since(begin) < length+stabilityWindow) {
					return fmt.Sprintf("%s uses %s %s after it left, %s after the interruption of %v for %s", id, d.target, late, time.Since(begin)-length, lost, length)
				}
			}
		}
	}
	return ""
}

// depart lets a target leave: by its state, or by the removal of its entry if that is zero.
func (w *world) depart(id string, state mesh.TargetState) {
	if state == 0 {
		w.remove(id)
		return
	}
	w.mu.Lock()
	target := w.targets[id]
	w.mu.Unlock()
	target.State = state
	w.put(target)
}

// sortedNodes returns the ids of all nodes.
func (w *world) sortedNodes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
