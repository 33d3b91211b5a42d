// Package follow keeps a node's view of the mesh current. A few nodes of each
// region read the platform; the others follow them, and readers of different
// regions follow each other. When the updates of its neighbours get old, a node
// reads the platform itself, so that the loss of all readers leaves no node behind.
package follow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/wait"
)

// ErrHistoryGone says that the platform no longer has the changes after the
// revision that was asked for.
var ErrCompacted = errors.New("the platform has dropped this history")

// Listing is everything that the platform holds, as of a revision or later.
type Listing struct {
	Config   *mesh.Config
	Targets  []mesh.Target
	Revision uint64
	// Answered is when the platform began to answer.
	Answered time.Time
}

// Changes are what the platform reports after a revision.
type Changes struct {
	Config   *mesh.Config
	Targets  []mesh.Target
	Removed  []mesh.Removal
	Revision uint64
	// Answered is when the platform began to answer.
	Answered time.Time
}

// Platform reads what operators and targets publish. Each call is paid for.
type Platform interface {
	List(ctx context.Context) (*Listing, error)
	// ListCheaply returns what the platform held at some moment of the last seconds, as
	// of a revision. It costs a fraction of List.
	ListStale(ctx context.Context) (*Listing, error)
	// Watch returns the changes after a revision as soon as there is one, and
	// none when the wait is over. It returns ErrHistoryGone if the platform
	// can't tell.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
	// RTT is the shortest round trip to the platform that was seen; zero before
	// the first.
	RTT() time.Duration
}

// Feed receives the updates of another node.
type Feed interface {
	// Follow hands every update to take until the feed breaks or ctx
	// ends. What is held already isn't sent again.
	Follow(ctx context.Context, address string, held mesh.Checkpoint, take func(*mesh.Update) error) error
}

// Config is what a follower is told about its node.
type Config struct {
	// Self is the address of this node for other nodes.
	Self          string
	FailureDomain string
	Region        string
	Regions       map[string]string
	// PeerAddress turns a target's address into its node's.
	PeerAddress func(target string) string
	// InForceWithin is how soon a change must be in force everywhere; zero means
	// usualInForce.
	PropagationBound time.Duration
	// FirstStart says that the whole fleet starts for the first time: nobody waits for it
	// yet, and the platform lists little.
	FirstStart bool
	// Greet reaches the node at an address, which gets a hint by it; nil where
	// nobody is greeted.
	Announce func(ctx context.Context, address string)
}

// Times of following.
const (
	// nearer is how many times shorter another reader's round trip to the platform
	// must be to leave the reading to it.
	nearer = 3
	// coalesce is the pause of a reader after a change. A storm of changes is
	// read in a few calls a second instead of one for each change.
	coalesce = 150 * time.Millisecond
	// retryFirst is the pause after a first failed read.
	retryFirst = 200 * time.Millisecond
	// startPatience is for how long a node that starts waits for its neighbours before
	// it reads the platform itself, and startGap how much longer for each rank.
	startPatience = 400 * time.Millisecond
	startGap      = 5 * time.Millisecond
	// beginFirst is the pause after a first cheap listing of a platform that lists
	// nothing yet; it doubles up to beginMost.
	beginFirst = 250 * time.Millisecond
	beginMost  = 2 * time.Second
	// tickInterval is how often roles and neighbours are looked at again where they may
	// change by time alone, and longestTick where they won't.
	tickInterval = 100 * time.Millisecond
	longestTick  = 500 * time.Millisecond
	// greetInterval is how often a node greets those that should follow it and
	// don't.
	greetInterval = 500 * time.Millisecond
	// settle is for how long after an outage of the platform removals may be leases
	// that ran out in it.
	settle = 2500 * time.Millisecond
)

// Follower keeps one view. It is safe for concurrent use.
type Follower struct {
	config   Config
	pace     pace
	platform Platform
	feed     Feed
	clock    port.Clock
	log      *log.Logger
	meter    port.Meter
	onChange func(*mesh.View)

	mu    sync.Mutex
	view  *mesh.View
	order *order
	// addresses holds the nodes' addresses by their targets'.
	addresses map[string]string
	// nearerAt is when a reader much nearer to the platform knew the view to be
	// current last.
	nearerAt time.Time
	changed  chan struct{}
	// toldCurrent is when the view was known to be current as of the last wake of feeds.
	toldCurrent time.Time
	hints       []string
	// feeds counts the open feeds by the host that follows.
	feeds map[string]int
	// broken holds the neighbours whose feeds have broken and not come back.
	broken map[string]bool

	// revision is where this node's watch of the platform stands; zero before the first
	// listing, and where the platform has dropped what came after it (historyGone).
	revision    uint64
	historyGone bool
	// begun is when a cheap listing told this node who else there is; zero if none did.
	begun time.Time
	// returned is when the view was brought up to date after an outage of the
	// platform, by this node's own reading or by a neighbour's word.
	returned time.Time
	// lostAt is when the platform stopped answering; zero while it answers.
	lostAt time.Time
}

// New returns a follower that knows nothing. OnChange is called with the view
// under its lock after each change; it must not keep the view.
func New(config Config, platform Platform, feed Feed, clock port.Clock, logger *log.Logger, meter port.Meter, onChange func(*mesh.View)) *Follower {
	return &Follower{
		config: config, pace: paceFor(config.PropagationBound), platform: platform, feed: feed, clock: clock, log: logger, meter: meter, onChange: onChange,
		view: mesh.NewView(), addresses: map[string]string{}, changed: make(chan struct{}), feeds: map[string]int{}, broken: map[string]bool{},
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.read(ctx) })
	running.Go(func() { f.followNeighbours(ctx) })
	running.Go(func() { f.greetOthers(ctx) })
	running.Wait()
}

// apply takes an update that was sent at a time and wakes everyone who waits for a change.
func (f *Follower) apply(update *mesh.Update, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, version := f.view.Generation(), f.view.Version()
	members := f.statesOf(update)
	now := f.clock.Now()
	age := f.view.Age(now)
	outage := f.view.Outage(now)
	err := f.view.Apply(sent, update)
	if outage && !f.view.Outage(now) {
		f.returned = now
	}
	changed := f.view.Generation() != before
	if changed {
		f.logTransitions(members, age, now.Sub(sent))
	}
	current := f.view.Age(now) >= 0
	if first := current && age < 0; first || current && changed {
		f.putInForce(version, first)
	}
	f.wakeFeeds(now, changed)
	return err
}

// putInForce hands the view on. One that was never known to be current is held back:
// routes that are gone by now would be served, and new ones not found.
func (f *Follower) putInForce(before uint64, first bool) {
	if version := f.view.Version(); version != 0 && (first || version != before) {
		f.log.Info().Uint64(logfield.Version, version).Uint64(logfield.Before, before).
			Int(logfield.Routes, len(f.view.Table().Config.Routes)).Msg("configuration in force")
	}
	f.onChange(f.view)
}

// wakeFeeds lets the feeds that this node serves send, if the view has changed or has
// become younger by as much as a beat: passed on with the beats alone, each step from the
// reader to the last node would add one to the age of its view.
func (f *Follower) wakeFeeds(now time.Time, changed bool) {
	current := now.Add(-f.view.Lag(now))
	if !changed && (f.view.Lag(now) < 0 || current.Sub(f.toldCurrent) < f.pace.beat) {
		return
	}
	f.toldCurrent = current
	f.wake()
}

// wake ends all waits for a change. It must be called with the mutex held.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// await waits for a change, for a time between tickInterval and longestTick at most.
func (f *Follower) await(ctx context.Context, atMost time.Duration) {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	awaitChange(ctx, changed, min(max(atMost, tickInterval), longestTick))
}

// noteNearer keeps the update of a reader that is much nearer to the platform.
func (f *Follower) noteNearer(update *mesh.Update, sent time.Time) {
	if update.Age < 0 || update.RTT == 0 || update.RTT*nearer > f.platform.RTT() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := sent.Add(-update.Age); at.After(f.nearerAt) {
		f.nearerAt = at
	}
}

// Hint names a node that reached this one. A node that restarts while the
// platform is away knows nobody; who sends it a request has a view.
func (f *Follower) AddHint(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Table() != nil || slices.Contains(f.hints, address) {
		return
	}
	f.hints = append(f.hints, address)
	if len(f.hints) > maxHints {
		f.hints = f.hints[1:]
	}
}

// maxHints is how many hints are followed at a time, the newest ones: who gave
// an older one may have restarted since.
const maxHints = 3

// Age is how old the view is; negative when it never was current.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Age(f.clock.Now())
}

// Serve hands the neighbour on a host the updates that it lacks until ctx ends or
// send fails.
func (f *Follower) Serve(ctx context.Context, host string, held mesh.Checkpoint, send func(*mesh.Update) error) error {
	f.countFeed(host, 1)
	defer f.countFeed(host, -1)
	began := f.clock.Now()
	f.mu.Lock()
	position := f.view.PositionFor(held)
	f.mu.Unlock()
	for {
		f.mu.Lock()
		now := f.clock.Now()
		update, next := f.view.Since(now, position)
		update.SentOffset = now.Sub(began)
		changed := f.changed
		f.mu.Unlock()
		if err := send(update); err != nil {
			return err
		}
		position = next
		if position.Pending() {
			continue
		}
		awaitChange(ctx, changed, f.pace.beat)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// awaitChange waits for a change, for a time at most.
func awaitChange(ctx context.Context, changed <-chan struct{}, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pause waits between two reads of the platform.
func (f *Follower) pause(ctx context.Context, d time.Duration) bool { return wait.Sleep(ctx, d) }
