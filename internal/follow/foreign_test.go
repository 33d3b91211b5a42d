package follow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// putForeign adds entries of another writer, of a service that the configuration doesn't name.
func (w *world) putForeign(count int) {
	var domains []string
	for domain := range regions {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	for i := range count {
		id := fmt.Sprint("foreign-", i)
		w.put(mesh.Target{ID: id, Service: "ledger", Address: id + ":80", FailureDomain: domains[i%len(domains)], Slots: 1, State: mesh.Ready})
	}
}

// Guards against changes that nodes take up late, and against more reads of the platform, because entries
// of another writer count as nodes.
func TestEntriesOfUnnamedServicesAreNoNodes(t *testing.T) {
	for _, count := range []int{0, 150} {
		t.Run(fmt.Sprint(count, " entries"), func(t *testing.T) {
			simulate(t, func(t *testing.T, w *world) {
				w.putForeign(count)
				time.Sleep(5 * time.Second)
				w.takeReads()
				w.publish(2)
				w.remove("a1-1")
				time.Sleep(activeWithin)
				assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
				used := w.nodesUsing("a1-1")
				assert.Equal(t, len(used), 0, "%v", used)
				time.Sleep(10 * time.Second)
				reads := w.takeReads()
				assert.Assert(t, reads <= 16, "%d reads", reads)
			})
		})
	}
}

// Guards against nodes that ask for the same oversized response again and again, after a burst of another
// writer's entries.
func TestOversizedResponseIsReplacedByListing(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.takeReads()
		w.mu.Lock()
		w.oversizedBefore = w.revision + 1
		w.mu.Unlock()
		w.publish(2)
		w.remove("a1-1")
		time.Sleep(activeWithin)
		assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
		used := w.nodesUsing("a1-1")
		assert.Equal(t, len(used), 0, "%v", used)
		reads := w.takeReads()
		assert.Assert(t, reads <= 12, "%d reads", reads)
	})
}
