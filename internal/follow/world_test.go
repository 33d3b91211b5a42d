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

var errAway = errors.New("no answer")

// world is a platform and a fleet that follows it, on virtual time. Links can be
// cut silently.
type world struct {
	// within is the nodes' bound for changes.
	within   time.Duration
	mu       sync.Mutex
	revision uint64
	// history holds all changes; what is at or before dropped is forgotten.
	history []mesh.Update
	dropped uint64
	// recorded is when each of them happened.
	recorded []time.Time
	config   *mesh.Config
	targets  map[string]mesh.Target
	changed  chan struct{}
	reads    int
	// lists counts the reads that were listings.
	lists int
	// tries counts the calls of nodes that aren't cut off, failed ones included.
	tries int
	// cheap counts the cheap listings, which are no reads.
	cheap int
	// refused and cut name nodes that the platform turns away, and that reach
	// nobody and are reached by nobody.
	refused map[string]bool
	cut     map[string]bool
	// answering is how long an answer of the platform is in transit.
	answering time.Duration
	// queued is for how long messages wait at the link of a node before they leave
	// it; nil where none is full.
	queued func(node string) time.Duration
	// quiet nodes greet nobody.
	quiet bool
	// firstStart is what nodes that start are told.
	firstStart bool
	// linkRate is the speed of each node's link for updates in bytes a second; 0 for
	// links that are never full. LinkFree is when what was sent last has left, sent
	// the bytes that each node has sent.
	linkRate float64
	linkFree map[string]time.Time
	sent     map[string]int
	nodes    map[string]*Follower
	// crashes is what each node knows of requests that crash targets, and noticed the bytes
	// of notices that each node has sent.
	crashes map[string]*quarantine.SharedLedger
	noticed map[string]int
	stops   map[string]context.CancelFunc
	// lives end with the process of a node, and with it the feeds that it serves.
	lives   map[string]context.Context
	running sync.WaitGroup
	// greeting is how long a greeting takes that nobody answers, ended when the followers
	// of nodes that were stopped had ended.
	greeting time.Duration
	ended    map[string]time.Time
}

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

const perDomain = 3

func newWorld(within time.Duration, perDomain int) *world {
	w := &world{
		within:   within,
		ended:    map[string]time.Time{},
		linkFree: map[string]time.Time{}, sent: map[string]int{},
		targets: map[string]mesh.Target{}, changed: make(chan struct{}), revision: 1,
		crashes: map[string]*quarantine.SharedLedger{}, noticed: map[string]int{},
		refused: map[string]bool{}, cut: map[string]bool{}, nodes: map[string]*Follower{}, stops: map[string]context.CancelFunc{}, lives: map[string]context.Context{},
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
		Self: id, FailureDomain: domain, Region: regions[domain], Regions: regions, PeerAddress: HostOf, Greet: w.greet(id), InForceWithin: w.within, FirstStart: w.firstStart,
	}, &link{world: w, node: id}, &link{world: w, node: id}, wallClock{},
		&log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}, metrics.New(), func(*mesh.View) {})
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.nodes[id] = f
	w.crashes[id] = quarantine.NewSharedLedger(wallClock{})
	w.stops[id] = stop
	w.lives[id] = ctx
	w.mu.Unlock()
	w.running.Go(func() {
		f.Run(ctx)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended[id] = time.Now()
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
	w.config = &mesh.Config{Version: version, Routes: routes}
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

// greet gives the node at an address a hint of who greets.
func (w *world) greet(from string) func(context.Context, string) {
	return func(_ context.Context, address string) {
		w.mu.Lock()
		other := w.nodes[address]
		quiet := w.quiet
		greeting := w.greeting
		w.mu.Unlock()
		if w.isCut(from, address) {
			time.Sleep(greeting)
		}
		if other != nil && !quiet && !w.isCut(from, address) {
			other.Hint(from)
		}
	}
}

// platformAway lets the platform turn every node away, until platformBack.
func (w *world) platformAway() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.nodes {
		w.refused[id] = true
	}
}

func (w *world) platformBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.refused)
}

// takeReads returns how often the platform was read since it was last asked.
func (w *world) takeReads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	reads := w.reads
	w.reads = 0
	return reads
}

// lagging returns the nodes that are not on the version.
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

// assertMembers checks that every node knows so many targets. No lock is held
// when a check fails: the nodes could not end then, nor the test.
func (w *world) assertMembers(t *testing.T, want int) {
	t.Helper()
	for id, f := range w.nodes {
		f.mu.Lock()
		got := len(f.view.Members())
		f.mu.Unlock()
		assert.Equal(t, got, want, "%s", id)
	}
}

func (f *Follower) knows(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Members()[target] != nil
}

// readers returns the nodes that read the platform by rank.
func (w *world) readers() []string { return w.ranked(1) }

// ranked returns so many nodes of each region, in the order of readers.
func (w *world) ranked(count int) []string {
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

// losses are ways in which both readers may be lost, and none.
var losses = []struct {
	desc string
	lose func(w *world, readers []string)
}{
	{"nothing is broken", func(*world, []string) {}},
	{"all readers are refused by the platform", func(w *world, r []string) { w.refused[r[0]], w.refused[r[1]] = true, true }},
	{"all readers are cut off from everybody", func(w *world, r []string) { w.cut[r[0]], w.cut[r[1]] = true, true }},
}
