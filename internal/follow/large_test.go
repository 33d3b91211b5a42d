//go:build !race

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

// A large fleet has two regions of a hundred nodes each.
const (
	largePerDomain = 50
	largeBound     = 4 * time.Second
	// smallLink is 14 Mbit/s in bytes per second.
	smallLink = 14e6 / 8
	// manyRoutes is the number of routes of a large configuration.
	manyRoutes = 1400
)

func routes(count int) []mesh.Route {
	made := make([]mesh.Route, count)
	for i := range made {
		made[i] = mesh.Route{Name: fmt.Sprint("r-", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Shares: []mesh.Share{{Service: "s", Weight: 1}}}
	}
	return made
}

// someNodes returns a random part of the nodes, including the readers of each region if
// withReaders is set.
func (w *world) someNodes(random *rand.Rand, part float64, withReaders bool) []string {
	var drawn []string
	if withReaders {
		drawn = w.firstRanked(readers)
	}
	ids := w.sortedNodes()
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if len(drawn) < int(part*float64(len(ids))) && !slices.Contains(drawn, id) {
			drawn = append(drawn, id)
		}
	}
	return drawn
}

// Guards against a change that takes longer the more nodes follow a reader over a slow
// link, and against departures that are queued behind it.
func TestLargeFleetAppliesChangeInTime(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		w.mu.Lock()
		w.linkRate = smallLink
		w.mu.Unlock()
		w.takeSent()
		w.publish(2, routes(manyRoutes)...)
		w.remove("a1-7")
		time.Sleep(time.Second)
		assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
		used := w.nodesUsing("a1-7")
		assert.Equal(t, len(used), 0, "%v", used)
		most, _ := w.takeSent()
		// Each feed carries the routes once, and some nodes serve more feeds than
		// fanout.FeedsPerVM, which is an average.
		assert.Assert(t, most <= 3*fanout.FeedsPerVM*(routeBytes*manyRoutes+entryBytes+20*heartbeatBytes), "%d bytes", most)
	})
}

// Guards against a departure that is queued behind a large configuration if callers leave
// only a tenth of the links' capacity.
func TestDepartureIsSentBeforeLargeChange(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		w.mu.Lock()
		w.linkRate = smallLink / 10
		w.mu.Unlock()
		w.publish(2, routes(manyRoutes)...)
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, len(w.lagging(2)) > 0, "the change arrived at once")
		w.remove("a1-7")
		time.Sleep(time.Second)
		used := w.nodesUsing("a1-7")
		assert.Equal(t, len(used), 0, "%v", used)
	})
}

// Guards against nodes that treat a slow transfer of a configuration as the loss of its
// sender. They would also follow the readers, which adds load to their saturated links, and
// read the platform themselves.
func TestLargeChangeOnFullLinksCausesNoFailover(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		w.mu.Lock()
		w.linkRate = smallLink / 10
		w.mu.Unlock()
		w.takeReads()
		w.takeSent()
		w.publish(2, routes(manyRoutes)...)
		time.Sleep(largeBound)
		assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
		reads := w.takeReads()
		assert.Assert(t, reads <= int(largeBound/time.Second)+2, "%d reads", reads)
		most, _ := w.takeSent()
		assert.Assert(t, most <= 3*fanout.FeedsPerVM*(routeBytes*manyRoutes+entryBytes+40*heartbeatBytes), "%d bytes", most)
	})
}

// Guards against heartbeats and reads in steady state that grow with the fleet.
func TestIdleTrafficOfLargeFleetIsBounded(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		time.Sleep(10 * time.Second)
		w.takeReads()
		w.takeSent()
		const span = 20 * time.Second
		time.Sleep(span)
		reads := w.takeReads()
		assert.Assert(t, reads <= int(span/time.Second), "%d reads", reads)
		most, _ := w.takeSent()
		perSecond := float64(most) / span.Seconds()
		assert.Assert(t, perSecond <= 10e3, "%.0f bytes a second", perSecond)
	})
}

// Guards against nodes that learn of a departure too late because the nodes between them
// and the platform are lost along with the readers.
func TestDeparturePropagatesDespiteNodeLoss(t *testing.T) {
	for _, test := range []struct {
		desc        string
		part        float64
		withReaders bool
		lose        func(w *world, id string)
	}{
		{"a third cut off from everybody", 0.33, false, func(w *world, id string) { w.cut[id] = true }},
		{"a third cut off, the readers among them", 0.33, true, func(w *world, id string) { w.cut[id] = true }},
		{"the readers rejected by the platform", 0, true, func(w *world, id string) { w.rejected[id] = true }},
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
					time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
					lost := w.someNodes(random, test.part, test.withReaders)
					w.mu.Lock()
					for _, id := range lost {
						test.lose(w, id)
					}
					w.mu.Unlock()
					w.remove("a1-7")
					w.publish(2)
					time.Sleep(largeBound * 9 / 10)
					assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
					used := slices.DeleteFunc(w.nodesUsing("a1-7"), func(id string) bool { return w.cut[id] })
					assert.Equal(t, len(used), 0, "%v", used)
				})
			})
		}
	}
}

// Guards against a full listing by each node that fails over after the platform has
// compacted the changes since the node's own last read. The node's view is recent enough to
// watch from.
func TestFailoverNeedsNoListing(t *testing.T) {
	simulateFleet(t, largeBound, perDomain, func(t *testing.T, w *world) {
		w.publish(2)
		time.Sleep(largeBound)
		lost := w.firstRanked(readers)
		w.mu.Lock()
		before := w.lists
		w.compacted = w.revision
		for _, id := range lost {
			w.cut[id] = true
		}
		w.mu.Unlock()
		w.remove("a1-0")
		time.Sleep(largeBound)
		for id, f := range w.nodes {
			assert.Check(t, w.cut[id] || !f.hasMember("a1-0"), "%s", id)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, w.lists, before)
	})
}

// restartAll stops all processes at once and starts them again.
func (w *world) restartAll() {
	var ids []string
	for id := range w.nodes {
		ids = append(ids, id)
	}
	for _, id := range ids {
		w.stops[id]()
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		w.start(id)
	}
}

// countCurrent returns the number of nodes whose view is at most as old as the given time.
func (w *world) countCurrent(within time.Duration) int {
	count := 0
	for _, f := range w.nodes {
		if age := f.Age(); age >= 0 && age <= within {
			count++
		}
	}
	return count
}

// Guards against nodes that restart while callers wait and get their view late, through
// several other nodes that restart as well.
func TestFleetRestartIsCurrentAtOnce(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		const responseDelay = 200 * time.Millisecond
		w.mu.Lock()
		w.responseDelay = responseDelay
		w.mu.Unlock()
		w.publish(2)
		w.restartAll()
		w.takeReads()
		time.Sleep(responseDelay + 10*time.Millisecond)
		assert.Equal(t, w.countCurrent(time.Second), len(w.nodes))
		assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
	})
}

// Guards against a node that starts from a stale listing and serves removed routes, or
// sends requests to a departed target.
func TestStartFromStaleListing(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		w.publish(2)
		w.remove("a1-7")
		time.Sleep(staleListAge / 2)
		w.firstStart = true
		w.restartAll()
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			for id, f := range w.nodes {
				if f.Age() >= 0 {
					f.mu.Lock()
					version, known := f.view.Version(), f.view.Members()["a1-7"] != nil
					f.mu.Unlock()
					assert.Assert(t, version == 2 && !known, "%s", id)
				}
			}
		}
		assert.Equal(t, w.countCurrent(time.Second), len(w.nodes))
	})
}

// Guards against a node that waits for neighbours that have no view either, because the
// platform rejects the readers.
func TestStartWithoutReaders(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		first := w.firstRanked(readers)
		w.mu.Lock()
		for _, id := range first {
			w.rejected[id] = true
		}
		w.firstStart = true
		w.mu.Unlock()
		w.restartAll()
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.countCurrent(2*time.Second), len(w.nodes))
	})
}

// Guards against a node that doesn't stop in time because it is announcing itself to
// unreachable nodes, one after another.
func TestStopEndsAnnouncements(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		first := w.firstRanked(1)
		w.mu.Lock()
		w.announceDelay = 200 * time.Millisecond
		for id := range w.nodes {
			w.cut[id] = !slices.Contains(first, id)
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		for _, id := range first {
			w.stops[id]()
		}
		stopped := time.Now()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, id := range first {
			assert.Assert(t, w.endedAt[id].Sub(stopped) <= w.announceDelay, "%s after %s", id, w.endedAt[id].Sub(stopped))
		}
	})
}

// Guards against an outage in which every node of a large fleet keeps calling the platform,
// and against detecting its end late because fewer nodes call.
func TestFewNodesCallPlatformInOutage(t *testing.T) {
	const outage = 8 * time.Second
	for _, perDomain := range []int{perDomain, largePerDomain} {
		t.Run(fmt.Sprint(4*perDomain, " VMs"), func(t *testing.T) {
			simulateFleet(t, largeBound, perDomain, func(t *testing.T, w *world) {
				w.failPlatform()
				time.Sleep(outage)
				w.mu.Lock()
				calls := w.rejectedCalls
				w.mu.Unlock()
				// The nodes of two regions that fail over first, once a second, and as many
				// others.
				assert.Assert(t, calls <= 2*2*failoverNodes*int(outage/time.Second), "%d calls", calls)
				w.restorePlatform()
				w.publish(2)
				time.Sleep(largeBound / 2)
				assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
			})
		})
	}
}

// Guards against a first start of the whole fleet with one full listing per node, because
// each node finds no other node listed yet.
func TestBootstrapReadsAreBounded(t *testing.T) {
	simulateFleet(t, largeBound, largePerDomain, func(t *testing.T, w *world) {
		// The targets are listed one by one while the nodes start.
		for id := range w.targets {
			w.stops[id]()
		}
		w.mu.Lock()
		targets := w.targets
		w.targets = map[string]mesh.Target{}
		w.history, w.recorded = nil, nil
		w.reads, w.staleLists = 0, 0
		w.firstStart = true
		w.mu.Unlock()
		w.publish(2)
		for id, target := range targets {
			w.mu.Lock()
			w.targets[id] = target
			w.mu.Unlock()
			w.start(id)
		}
		for _, target := range targets {
			w.put(target)
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		w.assertMembers(t, len(targets))
		assert.Equal(t, w.countCurrent(2*time.Second), len(targets))
		reads := w.takeReads()
		assert.Assert(t, reads <= len(targets)/2, "%d reads", reads)
	})
}
