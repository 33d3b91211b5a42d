package proxy

import (
	"net/http"
	"sync"
	"time"

	"tamarackquay/internal/link"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/shutdown"
)

// completionTimes holds the times from acceptance to the last byte of responses, by which a
// stopping node decides which requests it can still finish.
type completionTimes struct {
	mu sync.Mutex
	// entry is for callers' requests, owner for requests of other nodes.
	entry, owner shutdown.Times
}

func (c *completionTimes) observeEntry(now time.Time, route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry.Observe(now, route, took)
}

func (c *completionTimes) observeOwner(now time.Time, route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner.Observe(now, route, took)
}

// recordCompletion records the time until the end of a caller's request that a target has
// received. A request that broke off before its deadline would have taken longer, so its
// time would make the quantiles too low.
func (p *Proxy) recordCompletion(f *forwarder, complete bool) {
	now := p.ports.Clock.Now()
	if p.hasRoute(f.route.Name) && (complete || !now.Before(f.deadline)) {
		p.completions.observeEntry(now, f.route.Name, now.Sub(f.began))
	}
}

// recordOwnerCompletion is recordCompletion for a request of another node.
func (p *Proxy) recordOwnerCompletion(meta *attemptMeta, received time.Time, complete bool) {
	now := p.ports.Clock.Now()
	if p.hasRoute(meta.route) && (complete || !now.Before(received.Add(meta.budget))) {
		p.completions.observeOwner(now, meta.route, now.Sub(received))
	}
}

// hasRoute reports whether the current table has the named route. Nodes with another
// configuration send requests of other routes, which would be kept until the next change.
func (p *Proxy) hasRoute(name string) bool {
	snapshot := p.snapshot.Load()
	return snapshot != nil && snapshot.Table.HasRoute(name)
}

// retain drops the times of routes that the table no longer has.
func (c *completionTimes) retain(table *mesh.Table) {
	if table == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry.Retain(table.HasRoute)
	c.owner.Retain(table.HasRoute)
}

// Stop begins a planned stop: the node is no longer ready, and each response closes its
// connection. Requests are still served, except those that are likely not to be finished
// before deadline, when the process ends. The local target gets requests until StopLocal.
func (p *Proxy) Stop(deadline time.Time) {
	p.stopDeadline.Store(&deadline)
	p.stopping.Store(true)
}

// StopLocal stops sending requests to the local target. It is separate from Stop because
// the target may keep running, and its slots are missing while it gets no requests.
// Refusing from the beginning of the stop would leave it idle until its node is back: 4 s
// with the delays of a stop, instead of the 1.5 s that are enough.
func (p *Proxy) StopLocal() { p.localStopped.Store(true) }

func (p *Proxy) closeWhenStopping(w http.ResponseWriter) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// checkEntryStop returns a refusal if this node is stopping and is likely to end before the
// response to a caller's request is sent completely.
func (p *Proxy) checkEntryStop(now time.Time, route *mesh.Route, timeout time.Duration) *port.Refusal {
	if !p.stopping.Load() {
		return nil
	}
	size := p.meanResponse(route)
	return p.checkFinish(now, &p.completions.entry, retryElsewhere, shutdown.Request{
		Route: route.Name, Timeout: timeout,
		LinkTime: p.ReceiveTime(size),
		Small:    !p.localStopped.Load() && size < link.LargeSize, AcceptUnknown: true,
	})
}

// checkOwnerStop returns a refusal if this node is stopping and the local target gets no more
// requests, or if the node is likely to end before the response is sent completely.
func (p *Proxy) checkOwnerStop(now time.Time, meta *attemptMeta) *port.Refusal {
	if !p.stopping.Load() && !p.localStopped.Load() {
		return nil
	}
	if p.localStopped.Load() {
		return port.Refuse(port.ReasonStopping, retryStopping, "the target's node is stopping")
	}
	times, request := &p.completions.entry, shutdown.Request{
		Route: meta.route, Timeout: meta.budget, Small: meta.responseSize < link.LargeSize,
	}
	if meta.fromPeer {
		times = &p.completions.owner
		if meta.responseSize >= link.LargeSize {
			// The wait includes this response, which the link has admitted.
			request.LinkTime = p.LinkWait()
		}
	}
	return p.checkFinish(now, times, retryStopping, request)
}

func (p *Proxy) checkFinish(now time.Time, times *shutdown.Times, retryAfter time.Duration, request shutdown.Request) *port.Refusal {
	end := *p.stopDeadline.Load()
	p.completions.mu.Lock()
	expected, ok := times.Accepts(now, end, request)
	p.completions.mu.Unlock()
	if ok {
		return nil
	}
	return port.Refuse(port.ReasonStopping, retryAfter, "this node is stopping: a response of route %s may take %d ms, the node ends in %d ms",
		request.Route, millis(expected), millis(end.Sub(now)))
}

// meanResponse returns the mean size of a route's responses in bytes.
func (p *Proxy) meanResponse(route *mesh.Route) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routeStatsFor(route).ResponseBytes
}
