// Package follow keeps a node's view of the mesh current. A few nodes of each region, the
// readers, read the platform; the other nodes follow them, and readers of different regions
// follow each other. A node whose neighbours' updates are stale reads the platform itself,
// so that the loss of all readers cuts no node off from updates.
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

// ErrCompacted is returned if the platform no longer holds the changes after the requested
// revision.
var ErrCompacted = errors.New("requested revision has been compacted")

// ErrTooLarge is returned if the platform's response is longer than what a node reads, or takes too
// long to arrive. The same request would get the same response again.
var ErrTooLarge = errors.New("the platform's response is too large")

// Listing is the complete contents of the platform, as of Revision or later.
type Listing struct {
	Config      *mesh.Config
	Targets     []mesh.Target
	Evacuations []mesh.Evacuation
	Revision    uint64
	// RespondedAt is when the platform began to respond.
	RespondedAt time.Time
}

// Changes holds the changes of the platform's contents after a revision.
type Changes struct {
	Config      *mesh.Config
	Targets     []mesh.Target
	Removed     []mesh.Removal
	Evacuations []mesh.Evacuation
	Revision    uint64
	// RespondedAt is when the platform began to respond.
	RespondedAt time.Time
}

// Platform reads the data that operators and targets publish. Each call is billed.
type Platform interface {
	// List returns the platform's complete current contents.
	List(ctx context.Context) (*Listing, error)
	// ListStale returns the platform's contents at some moment within the last seconds, as
	// of a revision. It costs a fraction of List.
	ListStale(ctx context.Context) (*Listing, error)
	// Watch returns the changes after a revision as soon as there is one, or no changes
	// after the timeout. It returns ErrCompacted if the platform no longer holds these
	// changes.
	Watch(ctx context.Context, after uint64, timeout time.Duration) (*Changes, error)
	// RTT returns the shortest measured round trip to the platform, or zero before the
	// first.
	RTT() time.Duration
}

// Feed receives updates from another node.
type Feed interface {
	// Follow passes every update to apply until the feed breaks or ctx ends. Data covered by
	// checkpoint is not sent again.
	Follow(ctx context.Context, address string, checkpoint mesh.Checkpoint, apply func(*mesh.Update) error) error
}

// Config configures a Follower.
type Config struct {
	// SelfAddress is the address at which other nodes reach this node.
	SelfAddress   string
	FailureDomain string
	Region        string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// PeerAddress returns the address of the node beside the target at an address.
	PeerAddress func(target string) string
	// PropagationBound is the time within which a change must be applied on all nodes; zero
	// means defaultPropagationBound.
	PropagationBound time.Duration
	// ReportInterval is the time between two writes of a target's entry; zero means
	// mesh.DefaultReportInterval.
	ReportInterval time.Duration
	// FirstStart is set if the whole fleet starts for the first time: no callers are
	// waiting yet, and the platform lists few targets.
	FirstStart bool
	// Announce sends a request to the node at an address, which adds this node as a hint.
	// Nil disables announcements.
	Announce func(ctx context.Context, address string)
}

const (
	// nearerRTTFactor is how many times shorter the round trip of another reader to the
	// platform must be for this node to leave the reading to it.
	nearerRTTFactor = 3
	// coalesceDelay is a reader's pause after a change. A burst of changes is read in a few
	// calls a second instead of one call per change.
	coalesceDelay = 150 * time.Millisecond
	// initialBackoff is the pause after the first failed read.
	initialBackoff = 200 * time.Millisecond
	// startWait is how long a starting node waits for updates from its neighbours before it
	// reads the platform itself; startStagger is added per rank.
	startWait    = 400 * time.Millisecond
	startStagger = 5 * time.Millisecond
	// initialBootstrapDelay is the pause after the first stale listing if the platform
	// lists nothing yet; it doubles up to maxBootstrapDelay.
	initialBootstrapDelay = 250 * time.Millisecond
	maxBootstrapDelay     = 2 * time.Second
	// minTick and maxTick bound the interval at which roles and neighbours are
	// re-evaluated: minTick applies where the passage of time alone may change them soon,
	// maxTick where it can't.
	minTick = 100 * time.Millisecond
	maxTick = 500 * time.Millisecond
	// announceInterval is the interval at which a node announces itself to the nodes that
	// should follow it and don't.
	announceInterval = 500 * time.Millisecond
)

// Follower maintains one view. It is safe for concurrent use.
type Follower struct {
	config   Config
	timing   timing
	platform Platform
	feed     Feed
	clock    port.Clock
	log      *log.Logger
	meter    port.Meter
	onChange func(*mesh.View)

	mu       sync.Mutex
	view     *mesh.View
	topology *topology
	// addresses maps target addresses to the addresses of their nodes.
	addresses map[string]string
	// nearerReaderAt is the latest time at which a reader much nearer to the platform is
	// known to have had a current view.
	nearerReaderAt time.Time
	changed        chan struct{}
	// notifiedCurrent is the time as of which the view was known to be current when the
	// feeds were last woken.
	notifiedCurrent time.Time
	hints           []string
	// feeds counts the open feeds served by this node, by the follower's host.
	feeds map[string]int
	// broken holds the neighbours whose feeds have broken and are not restored.
	broken map[string]bool

	// revision is the position of this node's watch of the platform; zero before the first
	// listing. If the changes after it can't be read, it is reset to zero and relist is set.
	revision uint64
	relist   bool
	// bootstrappedAt is when this node learned the fleet's members from a stale listing;
	// zero if it never did.
	bootstrappedAt time.Time
	// recoveredAt is when the view became current again after a platform outage, through
	// this node's own read or a neighbour's update.
	recoveredAt time.Time
	// lostAt is when the platform stopped responding; zero while it responds.
	lostAt time.Time
}

// New returns a follower with an empty view. OnChange is called after each change of the
// view, with the lock held; it must not retain the view.
func New(config Config, platform Platform, feed Feed, clock port.Clock, logger *log.Logger, meter port.Meter, onChange func(*mesh.View)) *Follower {
	view := mesh.NewView()
	if config.ReportInterval > 0 {
		view.SetReportInterval(config.ReportInterval)
	}
	return &Follower{
		config: config, timing: timingFor(config.PropagationBound), platform: platform, feed: feed, clock: clock, log: logger, meter: meter, onChange: onChange,
		view: view, addresses: map[string]string{}, changed: make(chan struct{}), feeds: map[string]int{}, broken: map[string]bool{},
	}
}

// Run follows the platform and other nodes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.read(ctx) })
	running.Go(func() { f.followNeighbours(ctx) })
	running.Go(func() { f.announceToFollowers(ctx) })
	running.Wait()
}

// apply applies an update that was sent at the given time and wakes all goroutines that
// wait for a change.
func (f *Follower) apply(update *mesh.Update, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if update.Complete {
		f.view.AddImplied(update, mesh.SuspectGrace)
	}
	f.limitGrace(now, update)
	before, version := f.view.Generation(), f.view.Version()
	members := f.statesOf(update)
	evacuated := f.view.Evacuations()
	age := f.view.Age(now)
	outage := f.view.Outage(now)
	err := f.view.Apply(sent, update)
	if outage && !f.view.Outage(now) {
		f.recoveredAt = now
		f.log.Info().Int64(logfield.ViewAge, age.Milliseconds()).Uint64(logfield.Revision, f.view.Revision()).Msg("outage over")
	}
	f.logIgnored(update)
	changed := f.view.Generation() != before
	if changed {
		f.logTransitions(members, age, now.Sub(sent))
		f.logEvacuations(evacuated, now.Sub(sent))
	}
	current := f.view.Age(now) >= 0
	if first := current && age < 0; first || current && changed {
		f.activate(version, first)
	}
	f.wakeFeeds(now, changed)
	return err
}

// activate logs a new configuration version and passes the view to onChange. It must not be
// called before the view has been current once: removed routes would be served and new
// routes not found.
func (f *Follower) activate(before uint64, first bool) {
	if version := f.view.Version(); version != 0 && (first || version != before) {
		f.log.Info().Uint64(logfield.Version, version).Uint64(logfield.Before, before).
			Int(logfield.Routes, len(f.view.Table().Config.Routes)).Msg("configuration in force")
	}
	f.onChange(f.view)
}

// wakeFeeds wakes the feeds that this node serves if the view has changed, or if the time
// as of which it is current has advanced by at least one heartbeat interval. If that time
// were forwarded with heartbeats alone, each hop from the reader to the last node would add
// one interval to the age of the view.
func (f *Follower) wakeFeeds(now time.Time, changed bool) {
	current := now.Add(-f.view.MembersAge(now))
	if !changed && (f.view.MembersAge(now) < 0 || current.Sub(f.notifiedCurrent) < f.timing.heartbeatInterval) {
		return
	}
	f.notifiedCurrent = current
	f.wake()
}

// wake ends all waits for a change. It must be called with the mutex held.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// await waits for a change, for at most the given time, which is clamped to minTick and
// maxTick.
func (f *Follower) await(ctx context.Context, timeout time.Duration) {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	awaitChange(ctx, changed, min(max(timeout, minTick), maxTick))
}

// recordNearerReader records an update that originates from a reader much nearer to the
// platform.
func (f *Follower) recordNearerReader(update *mesh.Update, sent time.Time) {
	if update.Age < 0 || update.RTT == 0 || update.RTT*nearerRTTFactor > f.platform.RTT() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := sent.Add(-update.Age); at.After(f.nearerReaderAt) {
		f.nearerReaderAt = at
	}
}

// AddHint adds the address of a node that sent a request to this one. A node that restarts
// during a platform outage has no addresses of other nodes; a node that sends it requests
// has a view.
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

// maxHints is how many hints are followed at a time. The newest ones are kept, as the
// sender of an older one may have restarted since.
const maxHints = 3

// Age returns the age of the view, or a negative value if it was never current.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Age(f.clock.Now())
}

// Serve sends a neighbour the updates that it lacks until ctx ends or send fails. Host is
// the neighbour's host.
func (f *Follower) Serve(ctx context.Context, host string, checkpoint mesh.Checkpoint, send func(*mesh.Update) error) error {
	f.countFeed(host, 1)
	defer f.countFeed(host, -1)
	start := f.clock.Now()
	f.mu.Lock()
	position := f.view.PositionFor(checkpoint)
	f.mu.Unlock()
	for {
		f.mu.Lock()
		now := f.clock.Now()
		update, next := f.view.Since(now, position)
		update.SentOffset = now.Sub(start)
		changed := f.changed
		f.mu.Unlock()
		if err := send(update); err != nil {
			return err
		}
		position = next
		if position.Pending() {
			continue
		}
		awaitChange(ctx, changed, f.timing.heartbeatInterval)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// awaitChange waits until changed is closed, the given time has passed or ctx ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pause waits between two reads of the platform. It returns false if ctx ends.
func (f *Follower) pause(ctx context.Context, d time.Duration) bool { return wait.Sleep(ctx, d) }
