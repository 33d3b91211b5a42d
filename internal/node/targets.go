package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/routing"
	"tamarackquay/internal/routing/retry"
)

// target holds a node's statistics of one target. It is safe for concurrent use.
type target struct {
	vm       membership.VM
	distance routing.Distance

	mu    sync.Mutex
	stats routing.Stats
}

func (t *target) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Begin(now)
}

// endWait ends the wait for the first byte of an attempt that began at start.
func (t *target) endWait(start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.EndWait(start)
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.End()
}

func (t *target) available(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.Available(now)
}

func (t *target) cost(now time.Time, slowStart time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.Cost(now, slowStart)
}

func (t *target) recordResponse(now time.Time, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.RecordResponse(now, latency)
}

func (t *target) recordLoad(now time.Time, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.RecordLoad(now, running)
}

func (t *target) backOff(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.BackOff(now)
}

func (t *target) recordFailure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.RecordFailure()
}

func (t *target) eject(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Eject(now)
}

// pool is the immutable set of a service's targets in one membership view.
type pool struct {
	list   []membership.VM
	groups [routing.OtherRegion + 1][]*target
}

func (p *pool) all(yield func(*target) bool) {
	for _, group := range p.groups {
		for _, t := range group {
			if !yield(t) {
				return
			}
		}
	}
}

// find returns the pool's target on the VM, or nil. If anything of the VM
// changed, for instance its address, it is a different target.
func (p *pool) find(vm membership.VM) *target {
	for t := range p.all {
		if t.vm == vm {
			return t
		}
	}
	return nil
}

// eject ejects a failing target if enough others remain available.
func (p *pool) eject(now time.Time, failing *target) {
	total, ejected := 0, 0
	for t := range p.all {
		total++
		if !t.available(now) {
			ejected++
		}
	}
	if routing.MayEject(total, ejected) {
		failing.eject(now)
	}
}

// upstreams holds the targets and the retry budget of one service. It is safe
// for concurrent use.
type upstreams struct {
	mu     sync.Mutex
	budget *retry.Budget

	view atomic.Pointer[membership.View]
	pool atomic.Pointer[pool]
}

func (u *upstreams) deposit() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.budget.Deposit()
}

func (u *upstreams) withdraw() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.budget.Withdraw()
}

// directory holds the upstreams of each service that was requested. It is safe
// for concurrent use.
type directory struct {
	self     membership.VM
	locality routing.Locality

	mu       sync.RWMutex
	services map[string]*upstreams
}

func newDirectory(self membership.VM) *directory {
	return &directory{
		self:     self,
		locality: routing.Locality{FailureDomain: self.FailureDomain, Region: self.Region},
		services: map[string]*upstreams{},
	}
}

func (d *directory) service(name string) *upstreams {
	d.mu.RLock()
	found := d.services[name]
	d.mu.RUnlock()
	if found != nil {
		return found
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services[name] == nil {
		d.services[name] = &upstreams{budget: retry.NewBudget()}
	}
	return d.services[name]
}

// targets returns the pool of a service for the view. The control loop may
// publish a view with every event; the pool is rebuilt only if the service's own
// targets have changed.
func (d *directory) targets(now time.Time, u *upstreams, name string, view *membership.View) *pool {
	if u.view.Load() == view {
		return u.pool.Load()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	list := view.Targets[name]
	old := u.pool.Load()
	if old == nil || !slices.Equal(old.list, list) {
		u.pool.Store(d.newPool(now, old, list))
	}
	u.view.Store(view)
	return u.pool.Load()
}

func (d *directory) newPool(now time.Time, old *pool, list []membership.VM) *pool {
	p := &pool{list: list}
	for distance, group := range routing.Groups(d.locality, d.self.ID, list) {
		for _, vm := range group {
			p.groups[distance] = append(p.groups[distance], newTarget(now, old, vm, routing.Distance(distance)))
		}
	}
	return p
}

// newTarget returns the old pool's target if it has one on the VM, to keep its
// statistics. Targets of the first pool count as warm: the node itself is new
// then, not the targets.
func newTarget(now time.Time, old *pool, vm membership.VM, distance routing.Distance) *target {
	t := &target{vm: vm, distance: distance}
	if old == nil {
		return t
	}
	if known := old.find(vm); known != nil {
		return known
	}
	t.stats.FirstSeen = now
	return t
}
