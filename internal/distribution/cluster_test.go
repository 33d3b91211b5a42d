package distribution

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
	"tamarackquay/internal/tomlfile"
)

// cluster simulates several nodes whose messages are lost, duplicated and
// reordered, and a platform that is stale, down or serves broken versions.
type cluster struct {
	t     *rapid.T
	now   time.Time
	nodes []*clusterNode
	// inFlight holds the messages that are sent but not delivered.
	inFlight []func()

	published []*snapshot.Publication
	served    int
	parts     snapshot.Parts
	down      bool
	// valid are the contents that nodes may apply.
	valid    map[content]bool
	revision uint64
	starts   uint64
}

type clusterNode struct {
	id    Source
	state *State
	last  content
}

const clusterSize = 4

// maxMessages is far above the number of messages that four nodes send each
// other in one round.
const maxMessages = 5000

func newCluster(t *rapid.T) *cluster {
	cl := &cluster{t: t, now: time.Unix(0, 0), parts: snapshot.Parts{}, valid: map[content]bool{}, served: -1}
	for i := range clusterSize {
		cl.nodes = append(cl.nodes, &clusterNode{id: Source(fmt.Sprintf("vm-%d", i))})
		cl.restart(i)
	}
	return cl
}

func (cl *cluster) restart(i int) {
	cl.starts++
	cl.nodes[i].state = New(DefaultConfig(), cl.now, rand.New(rand.NewPCG(cl.starts, 1)))
	cl.nodes[i].last = content{}
}

func testSet(revision int, service string) *contract.Set {
	set := &contract.Set{Services: []contract.Service{
		{Name: "tally", Slots: 4, MaxConnections: 10, Committed: map[string]int{"a": 1}},
	}}
	for i := range 3 {
		deadline := time.Second
		if i == revision%3 {
			deadline += time.Duration(revision) * time.Second
		}
		name := fmt.Sprintf("customer-%d", i)
		set.Contracts = append(set.Contracts, contract.Contract{
			Customer: name, TokenHashes: []string{contract.HashToken(name)}, Classes: []string{"crew"},
			Grants: []contract.Grant{{Service: "tally", Share: 0.3, Limit: 1}},
			Routes: []contract.Route{{Name: "tallies", Prefix: "/", Service: service, Class: "crew",
				Deadline: tomlfile.Duration(deadline), StallTimeout: tomlfile.Duration(time.Second)}},
		})
	}
	return set
}

// publish publishes the next version. spoil, if set, removes or changes its new
// parts before they are stored.
func (cl *cluster) publish(service string, spoil func(snapshot.Parts)) {
	cl.revision++
	version := snapshot.Version{Epoch: 1, Revision: cl.revision}
	cl.publishAs(version, int(cl.revision), service, spoil)
}

func (cl *cluster) publishAs(version snapshot.Version, variant int, service string, spoil func(snapshot.Parts)) {
	publication, err := snapshot.Build(testSet(variant, service), snapshot.Origin{Version: version})
	assert.NilError(cl.t, err)
	if service == "tally" {
		cl.valid[contentOf(publication.Manifest)] = true
	}
	fresh := snapshot.Parts{}
	for hash, raw := range publication.Parts {
		if stored, ok := cl.parts[hash]; !ok || snapshot.HashOf(stored) != hash {
			fresh[hash] = raw
		}
	}
	if spoil != nil {
		spoil(fresh)
	}
	for hash, raw := range fresh {
		cl.parts[hash] = raw
	}
	cl.published = append(cl.published, publication)
	cl.served = len(cl.published) - 1
}

// send adds a message to those in flight.
func (cl *cluster) send(deliver func()) { cl.inFlight = append(cl.inFlight, deliver) }

func (cl *cluster) takeMessage(keep bool) func() {
	if len(cl.inFlight) == 0 {
		return func() {}
	}
	i := rapid.IntRange(0, len(cl.inFlight)-1).Draw(cl.t, "message")
	deliver := cl.inFlight[i]
	if !keep {
		cl.inFlight = append(cl.inFlight[:i:i], cl.inFlight[i+1:]...)
	}
	return deliver
}

func (cl *cluster) node(id Source) *clusterNode {
	for _, n := range cl.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// perform executes the effects of a node.
func (cl *cluster) perform(n *clusterNode, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case FetchManifest:
			cl.send(func() { cl.sendManifest(n, e.From) })
		case FetchParts:
			cl.send(func() { cl.sendParts(n, e) })
		case Announce:
			for _, peer := range cl.nodes {
				cl.sendClaim(n, peer, true)
			}
		case Apply:
			assert.Assert(cl.t, cl.valid[contentOf(e.Snapshot.Manifest())], "an invalid version was applied")
		}
	}
}

func (cl *cluster) sendManifest(n *clusterNode, from Source) {
	var manifest *snapshot.Manifest
	switch peer := cl.node(from); {
	case from == Platform && !cl.down && cl.served >= 0:
		manifest = cl.published[cl.served].Manifest
	case peer != nil && peer.state.Applied() != nil:
		manifest = peer.state.Applied().Manifest()
	}
	cl.send(func() {
		if manifest == nil {
			cl.perform(n, n.state.FetchFailed(cl.now, from, 0))
			return
		}
		cl.perform(n, n.state.ManifestReceived(cl.now, from, manifest))
	})
}

func (cl *cluster) sendParts(n *clusterNode, e FetchParts) {
	held := snapshot.Parts{}
	switch peer := cl.node(e.From); {
	case e.From == Platform && !cl.down:
		held = cl.parts
	case peer != nil && peer.state.Applied() != nil:
		held = peer.state.Applied().Parts()
	}
	var parts [][]byte
	for _, hash := range e.Hashes {
		if raw, ok := held[hash]; ok {
			parts = append(parts, raw)
		}
	}
	cl.send(func() { cl.perform(n, n.state.PartsReceived(cl.now, e.From, parts)) })
}

// sendClaim sends the claim that is part of a heartbeat or an announcement.
func (cl *cluster) sendClaim(from, to *clusterNode, announced bool) {
	applied := from.state.appliedContent()
	claim := Claim{From: from.id, Version: applied.version, Root: applied.root, Announced: announced, Distance: OtherRegion}
	cl.send(func() { cl.perform(to, to.state.VersionReported(cl.now, claim)) })
}

func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for _, n := range cl.nodes {
		cl.perform(n, n.state.Tick(cl.now))
	}
}

// best returns the highest valid content that is available from the platform,
// as it is now, or from a node.
func (cl *cluster) best() content {
	var best content
	if cl.served >= 0 {
		if c := contentOf(cl.published[cl.served].Manifest); cl.valid[c] && cl.complete(cl.published[cl.served]) {
			best = c
		}
	}
	for _, n := range cl.nodes {
		if c := n.state.appliedContent(); c.newerThan(best) {
			best = c
		}
	}
	return best
}

// complete reports whether the platform serves all parts of a publication.
func (cl *cluster) complete(publication *snapshot.Publication) bool {
	for hash := range publication.Parts {
		if stored, ok := cl.parts[hash]; !ok || snapshot.HashOf(stored) != hash {
			return false
		}
	}
	return true
}

// converge delivers all messages, with a heartbeat round every half second,
// until all nodes have the best content. It fails the test after limit.
func (cl *cluster) converge(limit time.Duration) {
	cl.down = false
	end := cl.now.Add(limit)
	for cl.now.Before(end) {
		best := cl.best()
		behind := 0
		for _, n := range cl.nodes {
			if n.state.appliedContent() != best {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		cl.heartbeatRound()
		cl.advance(500 * time.Millisecond)
	}
	for _, n := range cl.nodes {
		assert.Check(cl.t, n.state.appliedContent() == cl.best(), "%s stays at %s, %s is available", n.id, n.state.AppliedVersion(), cl.best().version)
	}
}

// heartbeatRound exchanges heartbeats between all nodes, lets the first node
// read the platform, and delivers all messages.
func (cl *cluster) heartbeatRound() {
	for i, n := range cl.nodes {
		cl.sendClaim(n, cl.nodes[(i+1)%clusterSize], false)
		cl.sendClaim(n, cl.nodes[(i+2)%clusterSize], false)
	}
	cl.sendManifest(cl.nodes[0], Platform)
	for delivered := 0; len(cl.inFlight) > 0; delivered++ {
		assert.Assert(cl.t, delivered < maxMessages, "messages cause further messages without end")
		deliver := cl.inFlight[0]
		cl.inFlight = cl.inFlight[1:]
		deliver()
	}
}
