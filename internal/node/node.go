// Package node connects the decisions with the ports: a control loop that
// learns and spreads configuration and membership, and the path of requests.
//
// One goroutine, the control loop, owns the distribution state and the
// membership table. It publishes immutable pictures of both through atomic
// pointers, so that requests read them without locks and keep the picture they
// started with.
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

// Config is what a node needs to know besides its ports.
type Config struct {
	Self membership.VM
	// Seeds are peer addresses to try while the platform's list can't be had.
	Seeds        []string
	Heartbeat    time.Duration
	ListInterval time.Duration
	// Pace bounds the reads of the platform.
	ReadPacing   distribution.ReadPacing
	Distribution distribution.Config
	Membership   membership.Config
	// QueuePerSlot bounds the requests that wait at the local target.
	QueuePerSlot int
	// MaxAttempts bounds how many targets one request is offered to.
	MaxAttempts int
	// Policy chooses among equally distant targets; nil means two choices.
	Policy routing.Policy
	// Linger is how long a stopping node still serves callers, closing their
	// connections with each answer.
	Linger time.Duration
	// Drain bounds how long a planned stop waits for running requests.
	DrainTimeout time.Duration
	// Seed starts the node's random numbers.
	Seed uint64
}

// Ports are the node's connections to the world.
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

// Node is one running process of the system. Its fields stand in groups by who
// may touch them.
type Node struct {
	config Config
	ports  Ports
	// events are handled by the control loop, one at a time.
	events     chan event
	background sync.WaitGroup

	pictures
	requests
	reading
	loop

	randomMu sync.Mutex
	random   *rand.Rand
}

// pictures are what the control loop publishes. Any goroutine may read them.
type pictures struct {
	current atomic.Pointer[snapshot.Snapshot]
	view    atomic.Pointer[membership.View]
	status  atomic.Pointer[Status]
	ready   atomic.Bool
	// lastTurn is when the control loop last ran.
	lastTurn atomic.Pointer[time.Time]
}

// requests is the state of the path of requests, safe for concurrent use.
type requests struct {
	gate     *gate.Gate
	observer *observer
	targets  *directory
	recent   *recent
	// running counts requests that this node serves as entry or owner.
	running atomic.Int64
	// stopping is set when a planned stop begins, closed when callers are no
	// longer served.
	stopping atomic.Bool
	closed   atomic.Bool
	// overheardAt is when a call last told of a newer version, in nanoseconds.
	overheardAt atomic.Int64
}

// reading is shared by the control loop and the goroutines that read the
// platform and answer pulls.
type reading struct {
	// rank is the node's place in the order of readers.
	rank atomic.Int64
	// listTried is closed once the VM list was asked for, with or without
	// success: no node can tell before whether it is a reader.
	listTried   chan struct{}
	listTriedBy sync.Once
	// served bounds the bytes given to peers that pull, partReads the parts
	// read from the platform.
	served    *rate.Limiter
	partReads *rate.Limiter
}

// loop is the control loop's own state; no other goroutine touches it.
type loop struct {
	started time.Time
	state   *distribution.State
	table   *membership.Table
	// gossip fires the next gossip round while there is news.
	gossip      *time.Timer
	gossipArmed bool
	viewBuilt   time.Time
	// rankedView is the view that rank was found for.
	rankedView *membership.View
	// distrustUntil and refreshing follow a pause; see pause.go.
	distrustUntil time.Time
	refreshing    bool
	pauseHooks    []func(gap time.Duration)
}

// New returns a node that has not started.
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
		requests: requests{
			gate:    gate.New(ports.Clock, config.Seed),
			targets: newDirectory(config.Self),
			recent:  newRecent(),
		},
		reading: reading{
			listTried: make(chan struct{}),
			served:    rate.NewLimiter(serveBytesPerSecond, serveBurst),
			partReads: rate.NewLimiter(rate.Limit(config.ReadPacing.PartsRate), partBurst),
		},
		loop: loop{
			started: now,
			state:   distribution.New(config.Distribution, now, newRandom(config, self.Incarnation+1)),
			table:   membership.NewTable(config.Membership, self, now, newRandom(config, self.Incarnation+2)),
		},
	}
	n.observe(now)
	n.publish(now)
	return n
}

// newRandom returns a source that differs between VMs also when they share a
// seed and the instant of their start, as in a herd restart: nodes whose random
// numbers agree do all things at the same time.
func newRandom(config Config, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(config.Seed^xxhash.Sum64String(config.Self.ID), stream))
}

// event is something that happened, to be handled by the control loop.
type event func(ctx context.Context, now time.Time)

// eventBacklog is how many events may wait for the control loop; senders wait
// when it is full.
const eventBacklog = 256

// Snapshot returns the configuration in force, or nil.
func (n *Node) Snapshot() *snapshot.Snapshot { return n.current.Load() }

// View returns the membership as last published.
func (n *Node) View() *membership.View { return n.view.Load() }

// Ready reports whether the node takes new requests.
func (n *Node) Ready() bool { return n.ready.Load() && !n.stopping.Load() }

// Run drives the control loop until ctx ends. Requests may be served before,
// while and after it runs; without it nothing new is learned.
func (n *Node) Run(ctx context.Context) {
	n.audit(port.AuditEvent{Kind: port.AuditStarted, Subject: n.config.Self.ID})
	n.background.Go(func() { n.watchList(ctx) })
	n.background.Go(func() { n.readPlatform(ctx) })
	ticker := time.NewTicker(n.config.Heartbeat)
	defer ticker.Stop()
	n.gossip = time.NewTimer(time.Hour)
	defer n.gossip.Stop()
	wake := time.NewTimer(n.config.Heartbeat)
	defer wake.Stop()
	n.tick(ctx)
	for {
		n.armWake(wake)
		select {
		case <-ctx.Done():
			n.background.Wait()
			return
		case <-wake.C:
			n.advance(ctx)
		case e := <-n.events:
			now := n.ports.Clock.Now()
			n.turn(now)
			e(ctx, now)
			n.publish(now)
		case <-n.gossip.C:
			now := n.ports.Clock.Now()
			n.spreadNews(ctx, now)
			n.publish(now)
		case <-ticker.C:
			n.tick(ctx)
		}
	}
}

// post hands an event to the control loop, or drops it when ctx ends first. The
// event gets the loop's own context: what it starts must outlive the message
// that brought it, or a pull begun by an announce would be cancelled as soon as
// the announcing peer had finished sending.
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
	n.ready.Store(n.state.Ready(now) && !n.distrusts(now))
	n.status.Store(n.newStatus(now, view))
	if n.gossip != nil {
		n.armGossip()
	}
}

// viewPause is the shortest time between two views. Building one takes half a
// millisecond for 1,600 VMs; in a herd restart, with news every few
// milliseconds, that alone would be a tenth of a core. A change that comes
// sooner is seen with the gossip round that passes it on.
const viewPause = 50 * time.Millisecond

func (n *Node) publishView(now time.Time) {
	if !n.table.Changed() || n.view.Load() != nil && now.Sub(n.viewBuilt) < viewPause {
		return
	}
	n.viewBuilt = now
	view := n.table.View(now)
	n.tellDomains(n.view.Swap(view), view)
}

func (n *Node) audit(event port.AuditEvent) {
	event.Time = n.ports.Clock.Now()
	event.VM = n.config.Self.ID
	n.ports.Audit.Record(event)
}

func (n *Node) pick(below int) int {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.random.IntN(below)
}
