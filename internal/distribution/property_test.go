package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
)

// Guards against any order of events in which a node reverts to an older
// version, or applies an incomplete version or one with a route to a missing
// service. Messages are lost, duplicated and reordered, the platform is stale,
// down, restored and wrong, operators publish concurrently and nodes restart.
// After each step every node must hold a complete version that is not older than
// its previous one.
func TestInvariantsHoldInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"":                                     func(*rapid.T) { cl.check() },
			"publish good":                         func(*rapid.T) { cl.publish("tally", nil) },
			"publish a route to a missing service": func(*rapid.T) { cl.publish("absent", nil) },
			"publish without a part": func(*rapid.T) {
				cl.publish("tally", func(parts snapshot.Parts) {
					for hash := range parts {
						delete(parts, hash)
					}
				})
			},
			"publish broken parts": func(*rapid.T) {
				cl.publish("tally", func(parts snapshot.Parts) {
					for hash := range parts {
						parts[hash] = []byte("broken")
					}
				})
			},
			"publish the same version twice": func(t *rapid.T) {
				version := snapshot.Version{Epoch: 1, Revision: cl.revision}
				if cl.revision > 0 {
					cl.publishAs(version, int(cl.revision)+100, "tally", nil)
				}
			},
			"platform is stale": func(t *rapid.T) {
				if len(cl.published) > 0 {
					cl.served = rapid.IntRange(0, len(cl.published)-1).Draw(t, "served")
				}
			},
			"platform goes down or up": func(*rapid.T) { cl.down = !cl.down },
			"read the platform": func(t *rapid.T) {
				cl.sendManifest(rapid.SampledFrom(cl.nodes).Draw(t, "reader"), Platform)
			},
			"heartbeat": func(t *rapid.T) {
				from := rapid.SampledFrom(cl.nodes).Draw(t, "from")
				to := rapid.SampledFrom(cl.nodes).Draw(t, "to")
				cl.sendClaim(from, to, false)
			},
			"false report": func(t *rapid.T) {
				from := rapid.SampledFrom(cl.nodes).Draw(t, "from").id
				to := rapid.SampledFrom(cl.nodes).Draw(t, "to")
				claim := Claim{From: from, Version: snapshot.Version{Epoch: 9, Revision: 9}, Announced: true}
				cl.perform(to, to.state.VersionReported(cl.now, claim))
			},
			"deliver": func(*rapid.T) { cl.takeMessage(false)() },
			"deliver many": func(t *rapid.T) {
				for range rapid.IntRange(2, 20).Draw(t, "messages") {
					cl.takeMessage(false)()
				}
			},
			"everything arrives": func(*rapid.T) { cl.heartbeatRound() },
			"duplicate":          func(*rapid.T) { cl.takeMessage(true)() },
			"lose":               func(*rapid.T) { cl.takeMessage(false) },
			"time passes": func(t *rapid.T) {
				cl.advance(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) { cl.restart(rapid.IntRange(0, clusterSize-1).Draw(t, "node")) },
		})
		// Once messages are delivered again, all nodes must converge on the
		// highest available version.
		cl.converge(2 * time.Minute)
		cl.check()
	})
}

// check verifies the invariants after every step.
func (cl *cluster) check() {
	for _, n := range cl.nodes {
		applied := n.state.appliedContent()
		assert.Assert(cl.t, !n.last.newerThan(applied), "%s reverted from %s to %s", n.id, n.last.version, applied.version)
		n.last = applied
		if applied := n.state.Applied(); applied != nil {
			cl.checkComplete(applied)
		}
		cl.checkBounds(n.state)
	}
}

// checkComplete verifies that all parts of a version are present and that its
// routes refer to existing services.
func (cl *cluster) checkComplete(applied *snapshot.Snapshot) {
	_, missing, err := snapshot.Select(applied.Manifest(), applied.Parts())
	assert.NilError(cl.t, err)
	assert.Equal(cl.t, len(missing), 0)
	for hash, raw := range applied.Parts() {
		assert.Assert(cl.t, snapshot.HashOf(raw) == hash, "content does not match its hash")
	}
	for _, c := range applied.Set().Contracts {
		for _, route := range c.Routes {
			assert.Assert(cl.t, applied.Service(route.Service) != nil, "route to missing service %s", route.Service)
		}
	}
	assert.Equal(cl.t, len(contract.Check(applied.Set(), contract.NoLocations{})), 0)
}

func (cl *cluster) checkBounds(s *State) {
	assert.Assert(cl.t, len(s.sources) <= maxSources)
	assert.Assert(cl.t, len(s.refused) <= maxRefused)
	if s.staged == nil {
		return
	}
	// The version has 64 groups, 1 service and 3 contracts; nothing else may be
	// held.
	assert.Assert(cl.t, len(s.staged.held) <= snapshot.GroupCount+4, "%d parts are staged", len(s.staged.held))
	for hash, raw := range s.staged.held {
		assert.Assert(cl.t, snapshot.HashOf(raw) == hash, "a broken part is staged")
	}
}
