package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
)

// Callers see a configuration go back, a route without a service, or half a
// version if any order of events lets a node apply what it should not. Messages
// are lost, doubled and reordered, the platform is stale, down, restored and
// wrong, operators race and nodes restart; after each step every node must be
// at or above what it had, and whole.
func TestAnyOrderOfEventsKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":                                     func(*rapid.T) { w.check() },
			"publish good":                         func(*rapid.T) { w.publish("tally", nil) },
			"publish a route to a missing service": func(*rapid.T) { w.publish("absent", nil) },
			"publish without a part": func(*rapid.T) {
				w.publish("tally", func(parts snapshot.Parts) {
					for hash := range parts {
						delete(parts, hash)
					}
				})
			},
			"publish broken parts": func(*rapid.T) {
				w.publish("tally", func(parts snapshot.Parts) {
					for hash := range parts {
						parts[hash] = []byte("broken")
					}
				})
			},
			"publish the same version twice": func(t *rapid.T) {
				version := snapshot.Version{Epoch: 1, Revision: w.revision}
				if w.revision > 0 {
					w.publishAs(version, int(w.revision)+100, "tally", nil)
				}
			},
			"platform is stale": func(t *rapid.T) {
				if len(w.published) > 0 {
					w.served = rapid.IntRange(0, len(w.published)-1).Draw(t, "served")
				}
			},
			"platform goes down or up": func(*rapid.T) { w.down = !w.down },
			"read the platform": func(t *rapid.T) {
				w.answerManifest(rapid.SampledFrom(w.nodes).Draw(t, "reader"), Platform)
			},
			"heartbeat": func(t *rapid.T) {
				from := rapid.SampledFrom(w.nodes).Draw(t, "from")
				to := rapid.SampledFrom(w.nodes).Draw(t, "to")
				w.claim(from, to, false)
			},
			"false report": func(t *rapid.T) {
				from := rapid.SampledFrom(w.nodes).Draw(t, "from").id
				to := rapid.SampledFrom(w.nodes).Draw(t, "to")
				claim := Claim{From: from, Version: snapshot.Version{Epoch: 9, Revision: 9}, Told: true}
				w.perform(to, to.state.VersionReported(w.now, claim))
			},
			"deliver": func(*rapid.T) { w.take(false)() },
			"deliver many": func(t *rapid.T) {
				for range rapid.IntRange(2, 20).Draw(t, "messages") {
					w.take(false)()
				}
			},
			"everything arrives": func(*rapid.T) { w.beat() },
			"duplicate":          func(*rapid.T) { w.take(true)() },
			"lose":               func(*rapid.T) { w.take(false) },
			"time passes": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) { w.restart(rapid.IntRange(0, worldNodes-1).Draw(t, "node")) },
		})
		// Once messages arrive again, all nodes get what can be had.
		w.settle(2 * time.Minute)
		w.check()
	})
}

// check holds after every step.
func (w *world) check() {
	for _, n := range w.nodes {
		inForce := n.state.inForce()
		assert.Assert(w.t, !n.last.newerThan(inForce), "%s went back from %s to %s", n.id, n.last.version, inForce.version)
		n.last = inForce
		if applied := n.state.Applied(); applied != nil {
			w.checkWhole(applied)
		}
		w.checkBounds(n.state)
	}
}

// checkWhole proves that a version is there whole and points at nothing that
// it lacks.
func (w *world) checkWhole(applied *snapshot.Snapshot) {
	_, missing, err := snapshot.Select(applied.Manifest(), applied.Parts())
	assert.NilError(w.t, err)
	assert.Equal(w.t, len(missing), 0)
	for hash, raw := range applied.Parts() {
		assert.Assert(w.t, snapshot.HashOf(raw) == hash, "content does not match its hash")
	}
	for _, c := range applied.Set().Contracts {
		for _, route := range c.Routes {
			assert.Assert(w.t, applied.Service(route.Service) != nil, "route to missing service %s", route.Service)
		}
	}
	assert.Equal(w.t, len(contract.Check(applied.Set(), contract.NoLocations{})), 0)
}

func (w *world) checkBounds(s *State) {
	assert.Assert(w.t, len(s.sources) <= maxSources)
	assert.Assert(w.t, len(s.refused) <= maxRefused)
	if s.staged == nil {
		return
	}
	// 64 groups, 1 service and 3 contracts: nothing else may be held.
	assert.Assert(w.t, len(s.staged.held) <= snapshot.GroupCount+4, "%d parts are staged", len(s.staged.held))
	for hash, raw := range s.staged.held {
		assert.Assert(w.t, snapshot.HashOf(raw) == hash, "a broken part is staged")
	}
}
