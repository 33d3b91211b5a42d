package follow

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
