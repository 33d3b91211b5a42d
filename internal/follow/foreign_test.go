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

// assertTakenUp checks that all nodes have a version of the configuration, and that none uses a removed
// target.
func (w *world) assertTakenUp(t *testing.T, version uint64, removed string) {
	t.Helper()
	assert.Equal(t, len(w.lagging(version)), 0, "%v", w.lagging(version))
	used := w.nodesUsing(removed)
	assert.Equal(t, len(used), 0, "%v", used)
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
				w.assertTakenUp(t, 2, "a1-1")
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
		w.assertTakenUp(t, 2, "a1-1")
		reads := w.takeReads()
		assert.Assert(t, reads <= 12, "%d reads", reads)
	})
}
