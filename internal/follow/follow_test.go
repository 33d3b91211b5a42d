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

// inForceWithin is how soon a published version must be in force, with the
// second that the users' own bound of 2.5 s leaves for slow VMs.
const inForceWithin = 2200 * time.Millisecond

func simulate(t *testing.T, play func(t *testing.T, w *world)) {
	simulateWithin(t, usualInForce, play)
}

// simulateWithin is the same with another bound for changes.
func simulateWithin(t *testing.T, within time.Duration, play func(t *testing.T, w *world)) {
	simulateFleet(t, within, perDomain, play)
}

// simulateFleet is the same with so many nodes in each failure domain.
func simulateFleet(t *testing.T, within time.Duration, perDomain int, play func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(within, perDomain)
		defer w.stop()
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(w.lagging(1)), 0, "%v", w.lagging(1))
		play(t, w)
	})
}

// On a calm day one node of the region nearest to the platform reads it: one call
// a second, and one more for each burst of changes.
func TestFewReadForAll(t *testing.T) {
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

// A change is in force everywhere in time, whoever of the readers is lost just
// before it and in whatever way.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, test := range []struct {
		desc string
		lose func(w *world, readers []string)
	}{
		{"nothing is broken", func(*world, []string) {}},
		{"one reader is refused by the platform", func(w *world, r []string) { w.refused[r[0]] = true }},
		{"all readers are refused by the platform", func(w *world, r []string) { w.refused[r[0]], w.refused[r[1]] = true, true }},
		{"one reader is cut off from everybody", func(w *world, r []string) { w.cut[r[0]] = true }},
		{"all readers are cut off from everybody", func(w *world, r []string) { w.cut[r[0]], w.cut[r[1]] = true, true }},
		{"the readers' processes end", func(w *world, r []string) {
			for _, id := range r {
				w.stops[id]()
				// What has ended can't lag.
				w.cut[id] = true
			}
		}},
		{"both readers and those behind them are refused", func(w *world, _ []string) {
			for _, id := range w.ranked(readers + 1) {
				w.refused[id] = true
			}
		}},
		{"half of the nodes are refused, the readers among them", func(w *world, r []string) {
			w.refused[r[0]], w.refused[r[1]] = true, true
			for id := range w.nodes {
				if len(w.refused) < len(w.nodes)/2 {
					w.refused[id] = true
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
				time.Sleep(inForceWithin)
				assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
			})
		})
	}
}

// The platform drops the history that a watch stands at, and a target leaves in
// the gap. The listing that follows shows that it is gone.
func TestDroppedHistoryLosesNoDeparture(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.platformAway()
		time.Sleep(1200 * time.Millisecond)
		w.remove("a1-0")
		w.mu.Lock()
		w.dropped = w.revision
		clear(w.refused)
		w.mu.Unlock()
		time.Sleep(inForceWithin)
		for id, f := range w.nodes {
			assert.Assert(t, !f.knows("a1-0"), "%s", id)
		}
	})
}

// The platform is away for long and leases run out meanwhile. When it is back,
// its list is empty for a moment. No node drops the targets, which renew.
func TestLapsedLeasesEmptyNoView(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.platformAway()
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
		w.platformBack()
		time.Sleep(1500 * time.Millisecond)
		w.assertMembers(t, len(targets))
		for _, target := range targets {
			w.put(target)
		}
		time.Sleep(4 * time.Second)
		w.assertMembers(t, len(targets))
	})
}

// A node that never read the platform, and knows its view from its neighbours,
// is the first to reach the platform after a long outage. The list is empty for
// a moment, until the targets renew. It drops none of them.
func TestNodeThatNeverReadDropsNobody(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		const fresh = "a1-0"
		w.mu.Lock()
		w.refused[fresh] = true
		w.stops[fresh]()
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.start(fresh)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(w.lagging(1)), 0, "%v", w.lagging(1))
		w.platformAway()
		time.Sleep(8 * time.Second)
		w.mu.Lock()
		targets := slices.Collect(maps.Keys(w.targets))
		w.mu.Unlock()
		for _, id := range targets {
			w.remove(id)
		}
		w.mu.Lock()
		delete(w.refused, fresh)
		w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		w.assertMembers(t, len(targets))
	})
}

// A process restarts while the platform is away. It knows nobody until another
// node sends it a request; from that node it gets its view.
func TestRestartWithoutPlatformLearnsFromWhoCalls(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.platformAway()
		w.mu.Lock()
		w.quiet = true
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

// The same, but nobody sends it a request: its clients would be refused until the
// platform is back. The readers of its region greet it.
func TestRestartWithoutPlatformIsGreeted(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		w.platformAway()
		for _, id := range []string{w.readers()[0], "b2-1"} {
			w.stops[id]()
			time.Sleep(500 * time.Millisecond)
			w.start(id)
		}
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, len(w.lagging(1)), 0, "%v", w.lagging(1))
	})
}

// The platform was away for long, and every node has tried it again and again.
// It is back, the readers tell the others, and are then stopped just before a
// change. The others step in at once: the pauses between their tries, which had
// grown to seconds, ended when they had updates.
func TestPausesEndWithTheOutage(t *testing.T) {
	for outage := 6 * time.Second; outage <= 12*time.Second; outage += 500 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			simulate(t, func(t *testing.T, w *world) {
				readers := w.ranked(readers)
				w.platformAway()
				time.Sleep(outage)
				w.platformBack()
				time.Sleep(800 * time.Millisecond)
				w.mu.Lock()
				for _, id := range readers {
					w.stops[id]()
					w.cut[id] = true
				}
				w.mu.Unlock()
				w.publish(2)
				time.Sleep(inForceWithin)
				assert.Equal(t, len(w.lagging(2)), 0, "%v", w.lagging(2))
			})
		})
	}
}

// Operators of another platform want changes in force sooner or allow more time.
// All readers are lost, or the platform turns them away, at any moment between two
// of their reads: the change is in force within the bound all the same, with a
// tenth of it to spare.
func TestChangeIsInForceWithinOtherBounds(t *testing.T) {
	for _, within := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		for _, test := range losses {
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
						clear(w.refused)
						clear(w.cut)
						w.mu.Unlock()
						time.Sleep(2 * within)
					}
				})
			})
		}
	}
}
