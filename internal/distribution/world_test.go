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

// world drives the pure states of several nodes with messages that are lost,
// doubled and reordered, and a platform that lies in the known ways.
type world struct {
	t     *rapid.T
	now   time.Time
	nodes []*worldNode
	// bag holds what is on its way.
	bag []func()

	published []*snapshot.Publication
	served    int
	parts     snapshot.Parts
	down      bool
	// good are the contents that may come into force.
	good     map[content]bool
	revision uint64
	starts   uint64
}

type worldNode struct {
	id    Source
	state *State
	last  content
}

const worldNodes = 4

// endless is far above what four nodes send each other in one exchange.
const endless = 5000

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(0, 0), parts: snapshot.Parts{}, good: map[content]bool{}, served: -1}
	for i := range worldNodes {
		w.nodes = append(w.nodes, &worldNode{id: Source(fmt.Sprintf("vm-%d", i))})
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	w.starts++
	w.nodes[i].state = New(DefaultConfig(), w.now, rand.New(rand.NewPCG(w.starts, 1)))
	w.nodes[i].last = content{}
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

// publish puts out a version; its parts follow unless one is to be lost.
func (w *world) publish(service string, spoil func(snapshot.Parts)) {
	w.revision++
	version := snapshot.Version{Epoch: 1, Revision: w.revision}
	w.publishAs(version, int(w.revision), service, spoil)
}

func (w *world) publishAs(version snapshot.Version, variant int, service string, spoil func(snapshot.Parts)) {
	publication, err := snapshot.Build(testSet(variant, service), snapshot.Origin{Version: version})
	assert.NilError(w.t, err)
	if service == "tally" {
		w.good[contentOf(publication.Manifest)] = true
	}
	fresh := snapshot.Parts{}
	for hash, raw := range publication.Parts {
		if stored, ok := w.parts[hash]; !ok || snapshot.HashOf(stored) != hash {
			fresh[hash] = raw
		}
	}
	if spoil != nil {
		spoil(fresh)
	}
	for hash, raw := range fresh {
		w.parts[hash] = raw
	}
	w.published = append(w.published, publication)
	w.served = len(w.published) - 1
}

// send puts something on its way.
func (w *world) send(deliver func()) { w.bag = append(w.bag, deliver) }

func (w *world) take(keep bool) func() {
	if len(w.bag) == 0 {
		return func() {}
	}
	i := rapid.IntRange(0, len(w.bag)-1).Draw(w.t, "message")
	deliver := w.bag[i]
	if !keep {
		w.bag = append(w.bag[:i:i], w.bag[i+1:]...)
	}
	return deliver
}

func (w *world) node(id Source) *worldNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// perform carries out what a node decided.
func (w *world) perform(n *worldNode, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case FetchManifest:
			w.send(func() { w.answerManifest(n, e.From) })
		case FetchParts:
			w.send(func() { w.answerParts(n, e) })
		case Announce:
			for _, peer := range w.nodes {
				w.claim(n, peer, true)
			}
		case Apply:
			assert.Assert(w.t, w.good[contentOf(e.Snapshot.Manifest())], "a bad version came into force")
		}
	}
}

func (w *world) answerManifest(n *worldNode, from Source) {
	var manifest *snapshot.Manifest
	switch peer := w.node(from); {
	case from == Platform && !w.down && w.served >= 0:
		manifest = w.published[w.served].Manifest
	case peer != nil && peer.state.Applied() != nil:
		manifest = peer.state.Applied().Manifest()
	}
	w.send(func() {
		if manifest == nil {
			w.perform(n, n.state.FetchFailed(w.now, from, 0))
			return
		}
		w.perform(n, n.state.ManifestReceived(w.now, from, manifest))
	})
}

func (w *world) answerParts(n *worldNode, e FetchParts) {
	held := snapshot.Parts{}
	switch peer := w.node(e.From); {
	case e.From == Platform && !w.down:
		held = w.parts
	case peer != nil && peer.state.Applied() != nil:
		held = peer.state.Applied().Parts()
	}
	var parts [][]byte
	for _, hash := range e.Hashes {
		if raw, ok := held[hash]; ok {
			parts = append(parts, raw)
		}
	}
	w.send(func() { w.perform(n, n.state.PartsReceived(w.now, e.From, parts)) })
}

// claim sends a heartbeat's or announce's word about a version.
func (w *world) claim(from, to *worldNode, told bool) {
	inForce := from.state.inForce()
	claim := Claim{From: from.id, Version: inForce.version, Root: inForce.root, Told: told, Distance: OtherRegion}
	w.send(func() { w.perform(to, to.state.VersionReported(w.now, claim)) })
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		w.perform(n, n.state.Tick(w.now))
	}
}

// best is the highest content that may come into force and can be had: from
// the platform as it is now, or from a node.
func (w *world) best() content {
	var best content
	if w.served >= 0 {
		if c := contentOf(w.published[w.served].Manifest); w.good[c] && w.whole(w.published[w.served]) {
			best = c
		}
	}
	for _, n := range w.nodes {
		if c := n.state.inForce(); c.newerThan(best) {
			best = c
		}
	}
	return best
}

// whole reports whether the platform gives all parts of a publication.
func (w *world) whole(publication *snapshot.Publication) bool {
	for hash := range publication.Parts {
		if stored, ok := w.parts[hash]; !ok || snapshot.HashOf(stored) != hash {
			return false
		}
	}
	return true
}

// settle lets everything arrive, with heartbeats each second, until all nodes
// have the best content or the limit has passed.
func (w *world) settle(limit time.Duration) {
	w.down = false
	end := w.now.Add(limit)
	for w.now.Before(end) {
		best := w.best()
		behind := 0
		for _, n := range w.nodes {
			if n.state.inForce() != best {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		w.beat()
		w.pass(500 * time.Millisecond)
	}
	for _, n := range w.nodes {
		assert.Check(w.t, n.state.inForce() == w.best(), "%s stays at %s, %s can be had", n.id, n.state.AppliedVersion(), w.best().version)
	}
}

// beat lets all nodes exchange heartbeats, the first read the platform, and
// everything arrive.
func (w *world) beat() {
	for i, n := range w.nodes {
		w.claim(n, w.nodes[(i+1)%worldNodes], false)
		w.claim(n, w.nodes[(i+2)%worldNodes], false)
	}
	w.answerManifest(w.nodes[0], Platform)
	for delivered := 0; len(w.bag) > 0; delivered++ {
		assert.Assert(w.t, delivered < endless, "messages cause messages without end")
		deliver := w.bag[0]
		w.bag = w.bag[1:]
		deliver()
	}
}
