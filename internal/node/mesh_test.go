package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
	"tamarackquay/internal/tomlfile"
	"tamarackquay/standin/memnet"
)

// mesh is a fleet of nodes on an in-memory network, in the virtual time of a
// synctest bubble.
type mesh struct {
	t        *testing.T
	network  *memnet.Network
	platform *memnet.Platform
	nodes    []*meshNode
	version  snapshot.Version
	root     snapshot.Hash
	// config and pace are the settings of nodes that start from now on.
	config distribution.Config
	pace   distribution.ReadPacing
	// calls is closed to end the calls of a measurement; nil if there is no
	// measurement.
	calls chan struct{}
}

type meshNode struct {
	*Node
	vm     membership.VM
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// applied holds the versions that the node applied, in order.
	applied []snapshot.Version
	// appliedAt is when it last applied one.
	appliedAt time.Time
	// events counts the audit events by kind.
	events map[port.AuditKind]int
}

// Record implements port.Audit: it counts events and keeps the history of
// applied versions.
func (m *meshNode) Record(event port.AuditEvent) {
	m.mu.Lock()
	m.events[event.Kind]++
	m.mu.Unlock()
	if event.Kind != port.AuditApplied {
		return
	}
	version, err := snapshot.ParseVersion(event.Version)
	if err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applied = append(m.applied, version)
		m.appliedAt = event.Time
	}
}

func (m *meshNode) history() []snapshot.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.applied)
}

type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

type noMeter struct{}

func (noMeter) Count(port.Metric, string, int)   {}
func (noMeter) Set(port.Metric, string, float64) {}

func (noMeter) Observe(port.Metric, string, time.Duration) {}

type noTarget struct{}

func (noTarget) Do(context.Context, *port.Call) (*port.Response, error) {
	return &port.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// meshVM returns VM number i of a mesh with domains of equal size, two per
// region.
func meshVM(i, domains int) membership.VM {
	domain := i % domains
	return membership.VM{
		ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", domain),
		Region: fmt.Sprintf("region-%d", domain/2), Service: "tally",
		PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250+1),
	}
}

func newMesh(t *testing.T, count, domains int) *mesh {
	m := emptyMesh(t, count, domains)
	m.startAll(count, domains)
	return m
}

// emptyMesh returns a mesh whose nodes have not started.
func emptyMesh(t *testing.T, count, domains int) *mesh {
	m := &mesh{t: t, network: memnet.New(), platform: memnet.NewPlatform(),
		config: distribution.DefaultConfig(), pace: distribution.DefaultReadPacing()}
	var list []membership.Record
	for i := range count {
		list = append(list, membership.Record{VM: meshVM(i, domains), State: membership.Live})
	}
	m.platform.SetVMs(list)
	return m
}

func (m *mesh) startAll(count, domains int) {
	for i := range count {
		m.nodes = append(m.nodes, m.start(meshVM(i, domains)))
	}
}

// unstarted returns a node whose control loop has not started.
func (m *mesh) unstarted(vm membership.VM) *meshNode {
	mn := &meshNode{vm: vm, done: make(chan struct{}), events: map[port.AuditKind]int{}}
	mn.Node = New(Config{
		Self: vm, Seeds: []string{meshVM(0, 1).PeerAddress}, Heartbeat: time.Second, ListInterval: 5 * time.Second,
		ReadPacing: m.pace, Distribution: m.config, Membership: membership.DefaultConfig(),
		QueuePerSlot: 4, MaxAttempts: 3, DrainTimeout: time.Minute, Seed: uint64(len(m.nodes)) + 1,
	}, Ports{
		Platform: m.platform.For(vm), Peers: m.network.Peers(vm), Target: noTarget{}, Clock: virtualClock{},
		Audit: mn, Meter: noMeter{}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	return mn
}

func (m *mesh) start(vm membership.VM) *meshNode {
	mn := m.unstarted(vm)
	m.network.Attach(vm, mn.Node)
	ctx, cancel := context.WithCancel(context.Background())
	mn.cancel = cancel
	go func() {
		defer close(mn.done)
		mn.Run(ctx)
	}()
	return mn
}

// kill stops a node as SIGKILL does: it sends no departure.
func (m *mesh) kill(mn *meshNode) {
	m.network.Detach(mn.vm)
	mn.cancel()
	<-mn.done
}

func (m *mesh) stopAll() {
	if m.calls != nil {
		close(m.calls)
	}
	for _, mn := range m.nodes {
		m.kill(mn)
	}
}

// meshSet returns a small valid configuration; deadline distinguishes versions.
func meshSet(deadline time.Duration) *contract.Set {
	return &contract.Set{
		Services: []contract.Service{{Name: "tally", Slots: 4, MaxConnections: 10, Committed: map[string]int{"domain-0": 1}}},
		Contracts: []contract.Contract{{
			Customer: "co-operative", TokenHashes: []string{contract.HashToken("token")}, Classes: []string{"crew"},
			Grants: []contract.Grant{{Service: "tally", Share: 0.5, Limit: 1}},
			Routes: []contract.Route{{Name: "tallies", Prefix: "/", Service: "tally", Class: "crew",
				Deadline: tomlfile.Duration(deadline), StallTimeout: tomlfile.Duration(time.Second)}},
		}},
	}
}

// build returns a publication of the set.
func (m *mesh) build(version snapshot.Version, set *contract.Set) *snapshot.Publication {
	m.t.Helper()
	publication, err := snapshot.Build(set, snapshot.Origin{Version: version, Parent: m.root})
	assert.NilError(m.t, err)
	return publication
}

// publish publishes the next version and returns it.
func (m *mesh) publish() *snapshot.Publication {
	m.t.Helper()
	return m.publishSet(meshSet(time.Duration(m.version.Revision+1) * time.Second))
}

func (m *mesh) publishSet(set *contract.Set) *snapshot.Publication {
	m.t.Helper()
	publication := m.build(snapshot.Version{Epoch: max(m.version.Epoch, 1), Revision: m.version.Revision + 1}, set)
	m.version = publication.Manifest.Version
	m.root = publication.Manifest.Root
	assert.NilError(m.t, m.platform.Publish(publication))
	return publication
}

// restart kills node i and starts a new process at its address.
func (m *mesh) restart(i int) *meshNode {
	old := m.nodes[i]
	m.kill(old)
	m.nodes[i] = m.start(old.vm)
	return m.nodes[i]
}

// countOutdated counts nodes that have not applied the last published version.
func (m *mesh) countOutdated() int {
	count := 0
	for _, mn := range m.nodes {
		if current := mn.Snapshot(); current == nil || current.Root() != m.root || current.Version() != m.version {
			count++
		}
	}
	return count
}

// countEvents counts the audit events of a kind over all nodes.
func (m *mesh) countEvents(kind port.AuditKind) int {
	count := 0
	for _, mn := range m.nodes {
		mn.mu.Lock()
		count += mn.events[kind]
		mn.mu.Unlock()
	}
	return count
}

// countNotReady counts nodes that are not ready.
func (m *mesh) countNotReady() int {
	count := 0
	for _, mn := range m.nodes {
		if !mn.Ready() {
			count++
		}
	}
	return count
}

// links sets the one-way latencies between domains and between regions.
func (m *mesh) links(domains, regions time.Duration) {
	m.network.SetDelay(func(from, to membership.VM) time.Duration {
		switch {
		case from.Region != to.Region:
			return regions
		case from.FailureDomain != to.FailureDomain:
			return domains
		}
		return 200 * time.Microsecond
	})
	m.platform.SetDelay(func(vm membership.VM) time.Duration {
		if vm.Region != memnet.HomeRegion {
			return 2 * regions
		}
		return 2 * domains
	})
}

// converge sleeps until every node has the last version, and returns how long
// that took in virtual time.
func (m *mesh) converge(limit time.Duration) time.Duration {
	m.t.Helper()
	start := time.Now()
	for m.countOutdated() > 0 {
		assert.Assert(m.t, time.Since(start) < limit, "%d of %d nodes have an old version after %s", m.countOutdated(), len(m.nodes), limit)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// checkHistory checks that no node ever returned to an older version.
func (m *mesh) checkHistory() {
	m.t.Helper()
	for _, mn := range m.nodes {
		applied := mn.history()
		for i := 1; i < len(applied); i++ {
			assert.Check(m.t, applied[i].NewerThan(applied[i-1]), "%s applied %s after %s", mn.vm.ID, applied[i], applied[i-1])
		}
	}
}

func TestVersionReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 12, 4)
		defer m.stopAll()
		m.links(500*time.Microsecond, 20*time.Millisecond)
		m.publish()
		m.converge(15 * time.Second)
		m.publish()
		m.converge(3 * time.Second)
		m.checkHistory()
	})
}
