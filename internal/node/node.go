// Package node connects the decision packages with the ports. It has a control
// loop, which receives and spreads configuration and membership, and the
// request path.
//
// One goroutine, the control loop, owns the distribution state and the
// membership table. It publishes immutable snapshots of both through atomic
// pointers, so that requests read them without locks and each request keeps the
// snapshot it started with.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/gate"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
	"tamarackquay/internal/routing/p2c"
	"tamarackquay/internal/snapshot"
)

// Config holds a node's settings.
type Config struct {
	// Self is the VM on which the node runs.
	Self membership.VM
	// Seeds are peer addresses to probe while no peer is known, as when the
	// platform's list is unavailable.
	Seeds []string
	// Heartbeat is the interval between two ticks of the control loop; see
	// membership.Config.
	Heartbeat time.Duration
	// ListInterval is the mean time between two reads of the platform's VM list. In large
	// failure domains it is longer.
	ListInterval time.Duration
	// ReadPacing bounds the reads of the platform.
	ReadPacing   distribution.ReadPacing
	Distribution distribution.Config
	Membership   membership.Config
	// QueuePerSlot is the number of requests of a customer that may wait at the local target
	// for each slot that it is guaranteed there.
	QueuePerSlot int
	// MaxAttempts bounds the attempts of one request. Probes that found no free
	// slot don't count.
	MaxAttempts int
	// Policy chooses among equally distant targets; nil means power of two
	// choices.
	Policy routing.Policy
	// Linger is how long a stopping node still serves callers. Each response
	// closes its connection.
	Linger time.Duration
	// DrainTimeout bounds how long a planned stop waits for running requests.
	DrainTimeout time.Duration
	// Seed seeds the node's random numbers.
	Seed uint64
}

// Ports are the node's external dependencies.
type Ports struct {
	Platform port.Platform
	Peers    port.Peers
	Forward  port.Forwarder
	Target   port.Target
	Clock    port.Clock
	Audit    port.Audit
	Meter    port.Meter
	Log      *log.Logger
}

// Node is one running node. Its fields are grouped by the goroutines that may
// access them.
type Node struct {
	config Config
	ports  Ports
	// events are handled by the control loop, one at a time.
	events     chan event
	background sync.WaitGroup

	publishedState
	requestState
	readState
	loopState

	randomMu sync.Mutex
	random   *rand.Rand
}

// publishedState is published by the control loop. Any goroutine may read it.
type publishedState struct {
	current atomic.Pointer[snapshot.Snapshot]
	view    atomic.Pointer[membership.View]
	status  atomic.Pointer[Status]
	ready   atomic.Bool
	// lastRun is when the control loop last ran.
	lastRun atomic.Pointer[time.Time]
}

// requestState is the state of the request path, safe for concurrent use.
type requestState struct {
	gate      *gate.Gate
	observer  *observer
	targets   *directory
	recentIDs *recentIDs
	// running counts the requests that this node serves as entry or owner node.
	running atomic.Int64
	// stopping is set when a planned stop begins; closed is set when callers
	// are no longer served.
	stopping atomic.Bool
	closed   atomic.Bool
	// callVersionAt is when a newer version was last taken from a forwarded
	// call, in Unix nanoseconds.
	callVersionAt atomic.Int64
}

// readState is shared by the control loop and the goroutines that read the
// platform and serve pulls.
type readState struct {
	// rank is the node's position in the order of readers.
	rank atomic.Int64
	// listAttempted is closed after the first read of the VM list, successful
	// or not. Before that, the node can't determine whether it is a reader.
	listAttempted   chan struct{}
	listAttemptOnce sync.Once
	// pullLimiter limits the bytes sent to peers that pull, partLimiter the
	// parts read from the platform.
	pullLimiter *rate.Limiter
	partLimiter *rate.Limiter
}

// loopState belongs to the control loop; no other goroutine accesses it.
type loopState struct {
	started time.Time
	state   *distribution.State
	table   *membership.Table
	// gossipTimer starts the next gossip round while updates are pending.
	gossipTimer *time.Timer
	gossipArmed bool
	viewBuilt   time.Time
	// rankedView is the view that rank was computed from.
	rankedView *membership.View
	// refreshDeadline and refreshing are set after a pause; see pause.go.
	refreshDeadline time.Time
	refreshing      bool
	pauseHooks      []func(gap time.Duration)
}

// New returns a node whose control loop has not started; see Run.
func New(config Config, ports Ports) *Node {
	now := ports.Clock.Now()
	if config.Policy == nil {
		config.Policy = p2c.Policy{}
	}
	config.Membership.Heartbeat = config.Heartbeat
	self := membership.Record{VM: config.Self, Incarnation: uint64(now.UnixNano()), State: membership.Live}
	n := &Node{
		config: config,
		ports:  ports,
		events: make(chan event, eventBacklog),
		random: newRandom(config, self.Incarnation),
		requestState: requestState{
			gate:      gate.New(ports.Clock, config.Seed),
			targets:   newDirectory(config.Self),
			recentIDs: newRecentIDs(),
		},
		readState: readState{
			listAttempted: make(chan struct{}),
			pullLimiter:   rate.NewLimiter(serveBytesPerSecond, serveBurst),
			partLimiter:   rate.NewLimiter(rate.Limit(config.ReadPacing.PartsRate), partBurst),
		},
		loopState: loopState{
			started: now,
			state:   distribution.New(config.Distribution, now, newRandom(config, self.Incarnation+1)),
			table:   membership.NewTable(config.Membership, self, now, newRandom(config, self.Incarnation+2)),
		},
	}
	n.wrapPorts(now)
	n.publish(now)
	return n
}

// newRandom returns a source that differs between VMs even if they share a seed
// and a start time, as when the whole fleet restarts: nodes with equal random
// numbers would send and read everything at the same time.
func newRandom(config Config, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(config.Seed^xxhash.Sum64String(config.Self.ID), stream))
}

// event is a function that the control loop runs.
type event func(ctx context.Context, now time.Time)

// eventBacklog is the capacity of the event queue; senders block when it is
// full.
const eventBacklog = 256

// Snapshot returns the applied configuration, or nil.
func (n *Node) Snapshot() *snapshot.Snapshot { return n.current.Load() }

// View returns the membership as last published.
func (n *Node) View() *membership.View { return n.view.Load() }

// Ready reports whether the node accepts new requests.
func (n *Node) Ready() bool { return n.ready.Load() && !n.stopping.Load() }

// Run runs the control loop until ctx ends. Requests may be served before,
// during and after Run, but configuration and membership are updated only while
// it runs.
func (n *Node) Run(ctx context.Context) {
	n.audit(port.AuditEvent{Kind: port.AuditStarted, Subject: n.config.Self.ID})
	n.background.Go(func() { n.pollList(ctx) })
	n.background.Go(func() { n.readPlatform(ctx) })
	ticker := time.NewTicker(n.config.Heartbeat)
	defer ticker.Stop()
	n.gossipTimer = time.NewTimer(time.Hour)
	defer n.gossipTimer.Stop()
	timer := time.NewTimer(n.config.Heartbeat)
	defer timer.Stop()
	n.tick(ctx)
	for {
		n.resetTimer(timer)
		select {
		case <-ctx.Done():
			n.background.Wait()
			return
		case <-timer.C:
			n.advance(ctx)
		case e := <-n.events:
			now := n.ports.Clock.Now()
			n.checkPause(now)
			e(ctx, now)
			n.publish(now)
		case <-n.gossipTimer.C:
			now := n.ports.Clock.Now()
			n.sendGossip(ctx, now)
			n.publish(now)
		case <-ticker.C:
			n.tick(ctx)
		}
	}
}

// post passes an event to the control loop, or drops it if ctx ends first. The
// event runs with the loop's context and not with ctx: work that it starts must
// outlive the message that caused it. Otherwise a pull started by an announce
// would be cancelled as soon as the announcing peer had finished sending.
func (n *Node) post(ctx context.Context, e event) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// publish makes the control loop's state visible to requests.
func (n *Node) publish(now time.Time) {
	n.publishView(now)
	view := n.view.Load()
	n.state.SetPeers(len(view.Peers)+view.Unconfirmed, int(n.rank.Load()))
	n.ready.Store(n.state.Ready(now) && !n.needsRefresh(now))
	n.status.Store(n.newStatus(now, view))
	if n.gossipTimer != nil {
		n.armGossip()
	}
}

// minViewInterval is the shortest time between two views. Building one takes
// half a millisecond for 1,600 VMs; when the whole fleet restarts, with updates
// every few milliseconds, that alone would use a tenth of a core. A change that
// arrives sooner is published with the gossip round that sends it on.
const minViewInterval = 50 * time.Millisecond

func (n *Node) publishView(now time.Time) {
	if !n.table.Changed() || n.view.Load() != nil && now.Sub(n.viewBuilt) < minViewInterval {
		return
	}
	n.viewBuilt = now
	view := n.table.View(now)
	n.auditDomains(n.view.Swap(view), view)
}

func (n *Node) audit(event port.AuditEvent) {
	event.Time = n.ports.Clock.Now()
	event.VM = n.config.Self.ID
	n.ports.Audit.Record(event)
}

func (n *Node) intN(limit int) int {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.random.IntN(limit)
}
