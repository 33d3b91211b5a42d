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
	"tamarackquay/internal/wait"
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
	stops    map[string]context.CancelFunc
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

// link is one node's way to the platform and to other nodes.
type link struct {
	world *world
	node  string
}

// gate waits for the answer that never comes on a cut link, and returns at once
// what a refusal says.
func (l *link) gate(ctx context.Context) error {
	l.world.mu.Lock()
	cut, refused := l.world.cut[l.node], l.world.refused[l.node]
	if refused && !cut {
		l.world.tries++
	}
	l.world.mu.Unlock()
	if cut {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		<-ctx.Done()
	}
	if cut || refused {
		return errAway
	}
	return nil
}

// RTT implements Platform: region a is near the platform.
func (l *link) RTT() time.Duration {
	if l.node[0] == 'a' {
		return time.Millisecond
	}
	return 40 * time.Millisecond
}

func (l *link) List(ctx context.Context) (*Listing, error) {
	if err := l.gate(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.reads++
	w.lists++
	listing := &Listing{Config: w.config, Revision: w.revision, Answered: time.Now()}
	for _, target := range w.targets {
		listing.Targets = append(listing.Targets, target)
	}
	w.mu.Unlock()
	return listing, l.receive(ctx)
}

// cheapAge is how old what a cheap listing tells is.
const cheapAge = 2 * time.Second

// ListCheaply implements Platform.
func (l *link) ListCheaply(ctx context.Context) (*Listing, error) {
	if err := l.gate(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.cheap++
	listing := &Listing{Answered: time.Now()}
	targets := map[string]mesh.Target{}
	for i, update := range w.history {
		if time.Since(w.recorded[i]) < cheapAge {
			break
		}
		if update.Config != nil {
			listing.Config, _ = update.Config.Apply(nil)
			listing.Revision = uint64(update.Age)
		}
		for _, target := range update.Targets {
			targets[target.ID] = target
			listing.Revision = target.Revision
		}
		for _, removal := range update.Removed {
			delete(targets, removal.ID)
		}
	}
	for _, target := range targets {
		listing.Targets = append(listing.Targets, target)
	}
	w.mu.Unlock()
	return listing, l.receive(ctx)
}

// receive waits until an answer of the platform is here whole.
func (l *link) receive(ctx context.Context) error {
	l.world.mu.Lock()
	answering := l.world.answering
	l.world.mu.Unlock()
	if !wait.Sleep(ctx, answering) {
		return ctx.Err()
	}
	return l.gate(ctx)
}

func (l *link) Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error) {
	if err := l.gate(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.reads++
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if after < w.dropped {
			w.mu.Unlock()
			return nil, ErrHistoryGone
		}
		changes := w.since(after)
		changed := w.changed
		w.mu.Unlock()
		if changes.Revision > after {
			return changes, l.receive(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return &Changes{Revision: after, Answered: time.Now()}, l.gate(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
	}
}

func (w *world) since(after uint64) *Changes {
	changes := &Changes{Revision: after, Answered: time.Now()}
	for _, update := range w.history {
		// The age of a recorded update holds its revision.
		if revision := uint64(update.Age); revision > after {
			changes.Revision = revision
			changes.Targets = append(changes.Targets, update.Targets...)
			changes.Removed = append(changes.Removed, update.Removed...)
			if update.Config != nil {
				changes.Config, _ = update.Config.Apply(nil)
			}
		}
	}
	return changes
}

func (l *link) Follow(ctx context.Context, address string, held mesh.Held, take func(*mesh.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := l.world
	w.mu.Lock()
	other, life := w.nodes[address], w.lives[address]
	w.mu.Unlock()
	if other == nil || life.Err() != nil || w.isCut(l.node, address) {
		return errAway
	}
	defer context.AfterFunc(life, cancel)()
	silence := time.AfterFunc(1200*time.Millisecond, cancel)
	queue := make(chan queuedUpdate, 64)
	var delivering sync.WaitGroup
	defer delivering.Wait()
	defer close(queue)
	delivering.Go(func() {
		for q := range queue {
			if !wait.Sleep(ctx, time.Until(q.due)) {
				continue
			}
			silence.Reset(1200 * time.Millisecond)
			if take(q.update) != nil {
				cancel()
			}
		}
	})
	return other.Serve(ctx, l.node, held, func(update *mesh.Update) error {
		if w.isCut(l.node, address) {
			return nil
		}
		// A feed's window holds one message: the next one is made when it has left.
		left := w.carry(address, update)
		wait.Sleep(ctx, time.Until(left))
		queue <- queuedUpdate{update: update, due: time.Now().Add(w.queueAt(address))}
		return nil
	})
}

// queuedUpdate is a message that waits at a full link.
type queuedUpdate struct {
	update *mesh.Update
	due    time.Time
}

// carry puts an update on the link of a node and returns when it has left.
func (w *world) carry(node string, update *mesh.Update) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := sizeOf(update)
	w.sent[node] += size
	if w.linkRate == 0 {
		return time.Now()
	}
	free := w.linkFree[node]
	if now := time.Now(); free.Before(now) {
		free = now
	}
	w.linkFree[node] = free.Add(time.Duration(float64(size) / w.linkRate * float64(time.Second)))
	return w.linkFree[node]
}

// Bytes of the parts of an update: about what CBOR takes, with routes compressed.
const (
	beatBytes   = 60
	entryBytes  = 90
	routeBytes  = 12
	removeBytes = 20
)

func sizeOf(update *mesh.Update) int {
	size := beatBytes + entryBytes*len(update.Targets) + removeBytes*len(update.Removed)
	if update.Config != nil {
		size += routeBytes * len(update.Config.Changed)
	}
	return size
}

// takeSent returns the bytes of the node that has sent most since it was last asked, and
// of all nodes.
func (w *world) takeSent() (most, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, bytes := range w.sent {
		most = max(most, bytes)
		all += bytes
	}
	clear(w.sent)
	return most, all
}

func (w *world) queueAt(node string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued == nil {
		return 0
	}
	return w.queued(node)
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[a] || w.cut[b]
}
