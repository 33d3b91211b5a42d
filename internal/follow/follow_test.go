package follow

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// activeWithin is the time within which a published version must be active. The users' bound
// is 2.5 s, of which the rest is left for slow VMs.
const activeWithin = 2200 * time.Millisecond

func simulate(t *testing.T, run func(t *testing.T, w *world)) {
	simulateWithin(t, defaultPropagationBound, run)
}

// simulateWithin is like simulate, with the given propagation bound.
func simulateWithin(t *testing.T, bound time.Duration, run func(t *testing.T, w *world)) {
	simulateFleet(t, bound, perDomain, run)
}

// simulateFleet is like simulateWithin, with the given number of nodes in each failure
// domain.
func simulateFleet(t *testing.T, bound time.Duration, perDomain int, run func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(bound, perDomain)
		defer w.stop()
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(w.lagging(1)), 0, "%v", w.lagging(1))
		run(t, w)
	})
}

// Guards against reads of the platform that grow with the fleet. In steady state, one node
// of the region nearest to the platform reads it: one call a second, plus one for each
// burst of changes.
func TestPlatformReadRate(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.takeReads()
		time.Sleep(10 * time.Second)
		reads := w.takeReads()
		assert.Assert(t, reads <= 11, "%d", reads)
		for version := uint64(2); version <= 41; version++ {
			w.publish(version)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, len(w.lagging(41)), 0, "%v", w.lagging(41))
		reads = w.takeReads()
		assert.Assert(t, reads <= 2*7+4, "%d", reads)
	})
}

// Guards against changes that become active too late if readers are lost just before, in
// any combination and in any way.
func TestChangeIsActiveWithinBound(t *testing.T) {
	for _, test := range []struct {
		desc string
		lose func(w *world, readers []string)
	}{
		{"nothing is broken", func(*world, []string) {}},
		{"one reader is rejected by the platform", func(w *world, r []string) { w.rejected[r[0]] = true }},
		{"all readers are rejected by the platform", func(w *world, r []string) { w.rejected[r[0]], w.rejected[r[1]] = true, true }},
		{"one reader is cut off from everybody", func(w *world, r []string) { w.cut[r[0]] = true }},
		{"all readers are cut off from everybody", func(w *world, r []string) { w.cut[r[0]], w.cut[r[1]] = true, true }},
		{"the readers' processes end", func(w *world, r []string) {
			for _, id := range r {
				w.stops[id]()
				// A stopped node doesn't lag.
				w.cut[id] = true
			}
		}},
		{"both readers and the nodes next in rank are rejected", func(w *world, _ []string) {
			for _, id := range w.firstRanked(readers + 1) {
				w.rejected[id] = true
			}
		}},
		{"half of the nodes are rejected, the readers among them", func(w *world, r []string) {
			w.rejected[r[0]], w.rejected[r[1]] = true, true
			for id := range w.nodes {
				if len(w.rejected) < len(w.nodes)/2 {
					w.rejected[id] = true
				}
			}
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			simulate(t, func(t *testing.T, w *world) {
				readers := w.readers()
				assert.Equal(t, len(readers), 2)
				w.mu.Lock()
				test.lose(w, readers)
				w.mu.Unlock()
				w.publish(2)
				time.Sleep(activeWithin)
				assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
			})
		})
	}
}

// Guards against a missed departure: the platform compacts the history after a watch's
// position, and a target leaves in the gap. The listing that follows shows the removal.
func TestCompactionLosesNoDeparture(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.failPlatform()
		time.Sleep(1200 * time.Millisecond)
		w.remove("a1-0")
		w.mu.Lock()
		w.compacted = w.revision
		clear(w.rejected)
		w.mu.Unlock()
		time.Sleep(activeWithin)
		for id, f := range w.nodes {
			assert.Assert(t, !f.hasMember("a1-0"), "%s", id)
		}
	})
}

// Guards against dropping live targets after a long platform outage in which leases
// expired. The platform's list is empty for a moment after its return, until the targets
// renew.
func TestExpiredLeasesKeepLiveTargets(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.failPlatform()
		time.Sleep(8 * time.Second)
		var targets []mesh.Target
		w.mu.Lock()
		for _, target := range w.targets {
			targets = append(targets, target)
		}
		w.mu.Unlock()
		for _, target := range targets {
			w.remove(target.ID)
		}
		w.restorePlatform()
		time.Sleep(1500 * time.Millisecond)
		w.assertMembers(t, len(targets))
		for _, target := range targets {
			w.put(target)
		}
		time.Sleep(4 * time.Second)
		w.assertMembers(t, len(targets))
	})
}

// Guards against dropping live targets through a node that has received its view from
// neighbours only and is the first to reach the platform after a long outage. The
// platform's list is empty for a moment, until the targets renew.
func TestNodeWithoutOwnReadDropsNoTarget(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		const fresh = "a1-0"
		w.mu.Lock()
		w.rejected[fresh] = true
		w.stops[fresh]()
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.start(fresh)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(w.lagging(1)), 0, "%v", w.lagging(1))
		w.failPlatform()
		time.Sleep(8 * time.Second)
		w.mu.Lock()
		targets := slices.Collect(maps.Keys(w.targets))
		w.mu.Unlock()
		for _, id := range targets {
			w.remove(id)
		}
		w.mu.Lock()
		delete(w.rejected, fresh)
		w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		w.assertMembers(t, len(targets))
	})
}

// Guards against a node that gets no view after a restart during a platform outage. It has
// no addresses of other nodes until one of them sends it a request; it gets its view from
// that node.
func TestRestartInOutageGetsViewFromRequestingNode(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.failPlatform()
		w.mu.Lock()
		w.announceOff = true
		w.stops["a1-0"]()
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.start("a1-0")
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, w.lagging(1), []string{"a1-0"})
		w.nodes["a1-0"].AddHint("b2-1")
		time.Sleep(time.Second)
		assert.Equal(t, len(w.lagging(1)), 0)
	})
}

// The same, but no node sends it a request: its clients would be refused until the platform
// is back. The readers of its region announce themselves to it.
func TestReadersAnnounceToRestartedNode(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.failPlatform()
		for _, id := range []string{w.readers()[0], "b2-1"} {
			w.stops[id]()
			time.Sleep(500 * time.Millisecond)
			w.start(id)
		}
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, len(w.lagging(1)), 0, "%v", w.lagging(1))
	})
}

// Guards against retry pauses that continue after a long outage, in which every node has
// failed many times. The platform is back, the readers update the others and are stopped
// just before a change. The others must fail over at once: their pauses, which had grown to
// seconds, ended with the updates.
func TestBackoffEndsWithOutage(t *testing.T) {
	for outage := 6 * time.Second; outage <= 12*time.Second; outage += 500 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			simulate(t, func(t *testing.T, w *world) {
				readers := w.firstRanked(readers)
				w.failPlatform()
				time.Sleep(outage)
				w.restorePlatform()
				time.Sleep(800 * time.Millisecond)
				w.mu.Lock()
				for _, id := range readers {
					w.stops[id]()
					w.cut[id] = true
				}
				w.mu.Unlock()
				w.publish(2)
				time.Sleep(activeWithin)
				assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
			})
		})
	}
}

// Guards against missing a shorter or longer propagation bound. All readers are lost, or
// rejected by the platform, at any moment between two of their reads; the change must be
// active within nine tenths of the bound.
func TestChangeIsActiveWithinOtherBounds(t *testing.T) {
	for _, within := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		for _, test := range readerLosses {
			t.Run(within.String()+" "+test.desc, func(t *testing.T) {
				simulateWithin(t, within, func(t *testing.T, w *world) {
					for version, phase := uint64(2), 0*time.Second; phase < within/2; version, phase = version+1, phase+within/10 {
						time.Sleep(phase)
						readers := w.readers()
						w.mu.Lock()
						test.lose(w, readers)
						w.mu.Unlock()
						w.publish(version)
						time.Sleep(within * 9 / 10)
						assert.Equal(t, len(w.lagging(version)), 0, "after %s: %v", phase, w.lagging(version))
						w.mu.Lock()
						clear(w.rejected)
						clear(w.cut)
						w.mu.Unlock()
						time.Sleep(2 * within)
					}
				})
			})
		}
	}
}
