// Package proxy is the path of requests through a node of the mesh. As entry
// node it takes a caller's request, finds its route and target, and passes the
// answer back; as owner node it admits requests to the VM's own target.
//
// A request reaches a target only through the target's own node, which counts
// the slots exactly. A full target is thus found out by a refusal of its node,
// which costs the target nothing.
package proxy

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/gate"
	"tamarackquay/internal/link"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/routing/clientretry"
	"tamarackquay/internal/routing/retry"
)

// Headers name the headers in which callers and targets speak of a request. An
// empty name means that the header isn't used.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// Deadline is how many milliseconds the sender waits.
	Deadline string
	// ExpectedTarget names the target that is to run the request; any other
	// answers 421 and doesn't.
	ExpectedTarget string
	// CallerService is the service beside which the request began.
	CallerService string
	// Proof stands in each answer that a target made.
	Proof string
	// DidNotRun stands in answers of targets that did not run the request.
	DidNotRun string
	// Load is the target's own load: running, waiting, slots.
	Load string
}

// Config is what a node of the mesh is told about itself.
type Config struct {
	Headers       Headers
	FailureDomain string
	Region        string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// TargetAddress is the VM's own target, an IP:port.
	TargetAddress string
	// PeerPort is where the nodes of all VMs listen for each other.
	PeerPort int
	// RepeatRatio and RepeatFew bound what all nodes send again together: the
	// part of a service's requests, and so many besides, in each RepeatWindow; 0
	// for the usual one.
	RepeatRatio  float64
	RepeatFew    float64
	RepeatWindow time.Duration
	// HalfBytes is the size at which leaving the failure domain weighs half as much
	// as a late answer; 0 if bytes don't matter.
	HalfBytes float64
	// LinkRate is the speed of the VM's link in bytes a second; 0 when it is
	// not known.
	LinkRate float64
	// DrainWork is for how long after it drains a target still gets work that was on
	// its way; entry nodes may hear of it a moment later than the target's own node.
	DrainWork time.Duration
	Seed      uint64
}

// Ports are the proxy's ways to the world.
type Ports struct {
	Clock port.Clock
	// Peers and Target send requests to other nodes and to the VM's own target.
	Peers  *exchange.Pool
	Target *exchange.Pool
	Log    *log.Logger
	Meter  port.Meter
	// ViewAge is how old the picture is; nil where nobody asks.
	ViewAge func() time.Duration
	// Crashes is what all nodes know of requests that crash targets; nil for a node that
	// knows only what it sees itself.
	Crashes *quarantine.Shared
}

// Picture is what requests are routed by: a moment's immutable view of the mesh.
type Picture struct {
	Table *mesh.Table
	// Services holds the usable targets by service.
	Services map[string][]*mesh.Member
	// Own is the VM's own target, nil while the platform doesn't list it.
	Own *mesh.Member
	// Nodes is how many VMs the mesh has.
	Nodes int
	// Members grows with each change of the targets: two pictures with the same number
	// above zero have the same targets.
	Members uint64
}

// Proxy routes requests. It is safe for concurrent use.
type Proxy struct {
	config    Config
	ports     Ports
	decisions *decisions
	gate      *gate.Gate
	crashes   *quarantine.Shared
	// alone is held by the suspect of crashes that runs at the VM's own target.
	alone   chan struct{}
	service atomic.Pointer[string]
	picture atomic.Pointer[Picture]
	// stopping is set when a planned stop begins, ownStopped when the VM's own
	// target gets no more work by it; endsBy is when everything must be over.
	stopping   atomic.Bool
	ownStopped atomic.Bool
	endsBy     atomic.Pointer[time.Time]
	open       atomic.Int64
	attempts   atomic.Uint64
	// peerAddresses holds the nodes' addresses by their targets'.
	peerAddresses sync.Map

	mu       sync.Mutex
	random   *rand.Rand
	splitter mesh.Splitter
	stats    map[string]*placement.Stats
	// candidates holds the usable targets by service.
	candidates map[string]*candidates
	work       map[string]*placement.Work
	repeats    *retry.FleetBudget
	runs       ownRuns
	callers    *clientretry.Tracker
	held       holds
	reach      reachability
	link       *link.Share
	// turns orders the large answers that are sent to other nodes; turnComes
	// holds what is closed when the turn of a waiting one comes.
	turns     link.Turns
	turnComes map[*link.Turn]chan struct{}
}

// New returns a proxy that has no picture yet and refuses everything.
func New(config Config, ports Ports) *Proxy {
	p := &Proxy{
		config: config, ports: ports, decisions: newDecisions(ports), gate: gate.New(ports.Clock, config.Seed),
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		stats:     map[string]*placement.Stats{},
		work:      map[string]*placement.Work{},
		repeats:   retry.NewFleetBudget(config.RepeatWindow),
		runs:      ownRuns{running: map[string]ownRun{}},
		crashes:   ports.Crashes,
		alone:     make(chan struct{}, 1),
		callers:   clientretry.NewTracker(),
		reach:     newReachability(),
		link:      link.NewShare(config.LinkRate),
		turnComes: map[*link.Turn]chan struct{}{},
	}
	if p.crashes == nil {
		p.crashes = quarantine.NewShared(ports.Clock)
	}
	p.SetService("")
	return p
}

// SetService tells which service runs beside this node.
func (p *Proxy) SetService(name string) { p.service.Store(&name) }

// SetPicture puts a new picture in force.
func (p *Proxy) SetPicture(picture *Picture) {
	before := p.picture.Swap(picture)
	if picture.Own != nil && (before == nil || before.Own == nil || before.Own.Slots != picture.Own.Slots) {
		p.gate.Configure(ownTerms(picture.Own.Slots))
	}
	if before != nil && picture.Members != 0 && before.Members == picture.Members {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetGone(picture)
	p.candidates = make(map[string]*candidates, len(picture.Services))
	for service, members := range picture.Services {
		found := &candidates{}
		for _, member := range members {
			stats := p.statsOf(member)
			found[stats.Distance] = append(found[stats.Distance], candidate{member, stats})
		}
		p.candidates[service] = found
	}
}

// statsOf brings what is known of a target up to date. It must be called with the mutex
// held.
func (p *Proxy) statsOf(member *mesh.Member) *placement.Stats {
	known := p.stats[member.ID]
	if known == nil {
		known = &placement.Stats{Distance: p.distance(member)}
		p.stats[member.ID] = known
	}
	known.Slots = member.Slots
	known.WarmAt = member.WarmAt
	return known
}

func (p *Proxy) forgetGone(picture *Picture) {
	listed := map[string]bool{}
	addresses := map[string]bool{}
	for _, members := range picture.Services {
		for _, member := range members {
			listed[member.ID] = true
			addresses[p.peerAddress(member)] = true
		}
	}
	p.reach.forget(addresses)
	for id := range p.stats {
		if !listed[id] {
			delete(p.stats, id)
		}
	}
	p.peerAddresses.Range(func(target, address any) bool {
		if !addresses[address.(string)] {
			p.peerAddresses.Delete(target)
		}
		return true
	})
}

func (p *Proxy) distance(member *mesh.Member) placement.Distance {
	switch {
	case member.Address == p.config.TargetAddress:
		return placement.SameVM
	case member.FailureDomain == p.config.FailureDomain:
		return placement.SameDomain
	case p.config.Regions[member.FailureDomain] == p.config.Region:
		return placement.SameRegion
	}
	return placement.OtherRegion
}

// peerAddress is where the node of a target listens for other nodes.
func (p *Proxy) peerAddress(member *mesh.Member) string {
	if known, ok := p.peerAddresses.Load(member.Address); ok {
		return known.(string)
	}
	host, _, err := net.SplitHostPort(member.Address)
	if err != nil {
		// Addresses are checked where they are decoded.
		return member.Address
	}
	address := net.JoinHostPort(host, strconv.Itoa(p.config.PeerPort))
	p.peerAddresses.Store(member.Address, address)
	return address
}

// Ready reports whether callers may be sent here.
func (p *Proxy) Ready() bool {
	picture := p.picture.Load()
	return !p.stopping.Load() && picture != nil && picture.Table != nil
}

// Limits are what the configuration in force lets callers do; without one nothing
// is bounded.
func (p *Proxy) Limits() mesh.Limits {
	picture := p.picture.Load()
	if picture == nil || picture.Table == nil {
		return mesh.Limits{}
	}
	return picture.Table.Config.Limits
}

// Open is how many requests are under way through this node.
func (p *Proxy) Open() int64 { return p.open.Load() }

// Stop begins a planned stop: the node is not ready any more, and each answer
// closes its connection. Callers are served on, and the VM's own target gets on
// working until StopOwn, on what is surely over by the time at which the process
// ends.
func (p *Proxy) Stop(endsBy time.Time) {
	p.endsBy.Store(&endsBy)
	p.stopping.Store(true)
}

// StopOwn ends the work for the VM's own target. The target itself may run on, and
// its slots are missed while it gets none: refused from the order to stop on, it
// stood idle until its node was back, four seconds by the times of a stop, where one
// and a half are enough.
func (p *Proxy) StopOwn() { p.ownStopped.Store(true) }

func (p *Proxy) closeWhenStopping(w http.ResponseWriter) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Tick lets requests start that time alone has made room for.
func (p *Proxy) Tick() { p.gate.Tick() }

// TellLeftOut logs how many lines were left out since it was last called.
func (p *Proxy) TellLeftOut() { p.decisions.tellLeftOut() }

// Counts returns how many requests run and wait at the VM's own target.
func (p *Proxy) Counts() (running, waiting int) { return p.gate.Counts() }

// nextAttempt makes an id that no other attempt of this node has.
func (p *Proxy) nextAttempt(now time.Time) string {
	return strconv.FormatUint(p.attempts.Add(1), 36) + "." + strconv.FormatInt(now.UnixNano()&0xffffff, 36)
}
