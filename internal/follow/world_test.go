package follow

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

var errUnreachable = errors.New("unreachable")

// world simulates a platform and a fleet that follows it, in virtual time. Links can be cut
// silently.
type world struct {
	// propagationBound is the nodes' bound for changes.
	propagationBound time.Duration
	mu               sync.Mutex
	revision         uint64
	// history holds all changes; revisions up to compacted are no longer available.
	history   []mesh.Update
	compacted uint64
	// oversizedBefore is the revision before which a watch returns more than a node reads.
	oversizedBefore uint64
	// recorded holds the time of each change in history.
	recorded []time.Time
	config   *mesh.Config
	targets  map[string]mesh.Target
	// evacuations holds the active evacuations by failure domain.
	evacuations map[string]mesh.Evacuation
	changed     chan struct{}
	reads       int
	// lists counts the reads that were full listings.
	lists int
	// rejectedCalls counts the calls that the platform rejected.
	rejectedCalls int
	// staleLists counts the stale listings, which don't count as reads.
	staleLists int
	// rejected holds the nodes that the platform rejects, cut the nodes that are cut off
	// from the platform and from all other nodes.
	rejected map[string]bool
	cut      map[string]bool
	// responseDelay is how long a response of the platform is in transit.
	responseDelay time.Duration
	// queueDelay returns how long messages are queued at a node's link; nil if no link is
	// full.
	queueDelay func(node string) time.Duration
	// announceOff disables announcements.
	announceOff bool
	// firstStart is passed to nodes that start.
	firstStart bool
	// linkRate is the speed of each node's link for updates in bytes per second; 0 for
	// links that are never full. linkFreeAt is when a node's last message has left its
	// link, sentBytes the number of bytes that each node has sent.
	linkRate   float64
	linkFreeAt map[string]time.Time
	sentBytes  map[string]int
	nodes      map[string]*Follower
	// crashes holds each node's ledger of requests that crash targets, noticeBytes the size
	// of the notices that each node has sent.
	crashes     map[string]*quarantine.SharedLedger
	noticeBytes map[string]int
	stops       map[string]context.CancelFunc
	// processes holds a context for each node that ends with its process, and with it the
	// feeds that the node serves.
	processes map[string]context.Context
	running   sync.WaitGroup
	// announceDelay is how long an announcement to an unreachable node takes; endedAt holds
	// the times at which the followers of stopped nodes had ended.
	announceDelay time.Duration
	endedAt       map[string]time.Time
}

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

const perDomain = 3

func newWorld(bound time.Duration, perDomain int) *world {
	w := &world{
		propagationBound: bound,
		endedAt:          map[string]time.Time{},
		linkFreeAt:       map[string]time.Time{}, sentBytes: map[string]int{},
		targets: map[string]mesh.Target{}, evacuations: map[string]mesh.Evacuation{}, changed: make(chan struct{}), revision: 1,
		crashes: map[string]*quarantine.SharedLedger{}, noticeBytes: map[string]int{},
		rejected: map[string]bool{}, cut: map[string]bool{}, nodes: map[string]*Follower{}, stops: map[string]context.CancelFunc{}, processes: map[string]context.Context{},
	}
	w.publish(1)
	for domain := range regions {
		for i := range perDomain {
			id := fmt.Sprint(domain, "-", i)
			w.put(mesh.Target{ID: id, Service: "s", Address: id + ":80", FailureDomain: domain, Slots: 1, State: mesh.Ready})
		}
	}
	for domain := range regions {
		for i := range perDomain {
			w.start(fmt.Sprint(domain, "-", i))
		}
	}
	return w
}

func (w *world) start(id string) {
	w.mu.Lock()
	domain := w.targets[id].FailureDomain
	w.mu.Unlock()
	f := New(Config{
		SelfAddress: id, FailureDomain: domain, Region: regions[domain], Regions: regions, PeerAddress: HostOf, Announce: w.announce(id), PropagationBound: w.propagationBound, FirstStart: w.firstStart,
	}, &link{world: w, node: id}, &link{world: w, node: id}, wallClock{},
		&log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}, metrics.New(), func(*mesh.View) {})
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.nodes[id] = f
	w.crashes[id] = quarantine.NewSharedLedger(wallClock{})
	w.stops[id] = stop
	w.processes[id] = ctx
	w.mu.Unlock()
	w.running.Go(func() {
		f.Run(ctx)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endedAt[id] = time.Now()
	})
}

func (w *world) stop() {
	for _, stop := range w.stops {
		stop()
	}
	w.running.Wait()
}

func (w *world) record(update mesh.Update) {
	w.history = append(w.history, update)
	w.recorded = append(w.recorded, time.Now())
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) publish(version uint64, routes ...mesh.Route) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.config = &mesh.Config{Version: version, Routes: routes, Services: []mesh.Service{{Name: "s"}}}
	w.record(mesh.Update{Config: mesh.Diff(nil, w.config), Age: time.Duration(w.revision)})
}

func (w *world) put(target mesh.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	target.Revision = w.revision
	w.targets[target.ID] = target
	w.record(mesh.Update{Targets: []mesh.Target{target}, Age: time.Duration(w.revision)})
}

func (w *world) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	delete(w.targets, id)
	w.record(mesh.Update{Removed: []mesh.Removal{{ID: id, Revision: w.revision}}, Age: time.Duration(w.revision)})
}

// evacuate requests the evacuation of a failure domain, or withdraws the request.
func (w *world) evacuate(domain string, active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	evacuation := mesh.Evacuation{FailureDomain: domain, Active: active, Revision: w.revision}
	if active {
		w.evacuations[domain] = evacuation
	} else {
		delete(w.evacuations, domain)
	}
	w.record(mesh.Update{Evacuations: []mesh.Evacuation{evacuation}, Age: time.Duration(w.revision)})
}

// announce returns a function that adds the sender as a hint at the node of an address.
func (w *world) announce(from string) func(context.Context, string) {
	return func(_ context.Context, address string) {
		w.mu.Lock()
		other := w.nodes[address]
		announceOff := w.announceOff
		delay := w.announceDelay
		w.mu.Unlock()
		if w.isCut(from, address) {
			time.Sleep(delay)
		}
		if other != nil && !announceOff && !w.isCut(from, address) {
			other.AddHint(from)
		}
	}
}

// failPlatform makes the platform reject all nodes until restorePlatform is called.
func (w *world) failPlatform() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.nodes {
		w.rejected[id] = true
	}
}

func (w *world) restorePlatform() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.rejected)
}

// takeReads returns the number of reads of the platform since the last call.
func (w *world) takeReads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	reads := w.reads
	w.reads = 0
	return reads
}

// lagging returns the nodes whose version differs from the given one.
func (w *world) lagging(version uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for id, f := range w.nodes {
		f.mu.Lock()
		if f.view.Version() != version && !w.cut[id] {
			found = append(found, id)
		}
		f.mu.Unlock()
	}
	return found
}

// assertMembers checks the number of targets in every node's view. No lock may be held when
// a check fails: the nodes, and the test, could not end.
func (w *world) assertMembers(t *testing.T, want int) {
	t.Helper()
	for id, f := range w.nodes {
		f.mu.Lock()
		got := len(f.view.Members())
		f.mu.Unlock()
		assert.Equal(t, got, want, "%s", id)
	}
}

func (f *Follower) hasMember(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Members()[target] != nil
}

// readers returns the active reader of each region.
func (w *world) readers() []string { return w.firstRanked(1) }

// firstRanked returns the given number of nodes of each region, in reader order.
func (w *world) firstRanked(count int) []string {
	var found []string
	for id, f := range w.nodes {
		f.mu.Lock()
		if f.rank() < count {
			found = append(found, id)
		}
		f.mu.Unlock()
	}
	return found
}

// readerLosses holds ways in which both readers may be lost, including none.
var readerLosses = []struct {
	desc string
	lose func(w *world, readers []string)
}{
	{"nothing is broken", func(*world, []string) {}},
	{"all readers are rejected by the platform", func(w *world, r []string) { w.rejected[r[0]], w.rejected[r[1]] = true, true }},
	{"all readers are cut off from everybody", func(w *world, r []string) { w.cut[r[0]], w.cut[r[1]] = true, true }},
}
