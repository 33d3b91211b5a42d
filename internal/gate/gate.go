// Package gate lets goroutines wait for the decisions of the admission queue of
// one target.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/port"
)

// Gate holds the admission queue and those who wait at it. It is safe for
// concurrent use.
type Gate struct {
	clock port.Clock

	mu      sync.Mutex
	queue   *admission.Queue
	drain   admission.Breaker
	waiters map[string]*waiter
}

// waiter is a goroutine that waits for a slot. Done is closed when its request
// has started or, with a refusal, when it was dropped.
type waiter struct {
	done    chan struct{}
	refusal *port.Refusal
}

// New returns a gate without terms, which refuses everything; seed starts the
// spread of the times that refused callers are told.
func New(clock port.Clock, seed uint64) *Gate {
	return &Gate{clock: clock, queue: admission.NewQueue(admission.Terms{}, seed), waiters: map[string]*waiter{}}
}

// Configure takes new terms; see admission.Queue.Configure.
func (g *Gate) Configure(terms admission.Terms) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Configure(g.clock.Now(), terms))
}

func (g *Gate) wake(changes admission.Changes) {
	for i := range changes.Started {
		g.end(changes.Started[i].ID, nil)
	}
	for i := range changes.Dropped {
		drop := &changes.Dropped[i]
		g.end(drop.Request.ID, refusalOf(drop.Reason, drop.RetryAfter))
	}
}

func (g *Gate) end(id string, refusal *port.Refusal) {
	w := g.waiters[id]
	if w == nil {
		return
	}
	w.refusal = refusal
	close(w.done)
	delete(g.waiters, id)
}

// refusalDetails say in a sentence what each reason means.
var refusalDetails = map[admission.Reason]string{
	admission.ReasonQueueFull: "the customer is over its contract and its queue at this target is full",
	admission.ReasonDeadline:  "no slot is likely to fall free before the deadline",
	admission.ReasonLimit:     "the customer holds as many slots as its contract allows",
	admission.ReasonNoGrant:   "the customer's contract grants nothing of this service",
	admission.ReasonBusy:      "no slot is free at this target",
	admission.ReasonDuplicate: "a request with this id is known already",
}

func refusalOf(reason admission.Reason, retryAfter time.Duration) *port.Refusal {
	return &port.Refusal{Reason: port.Reason(reason), RetryAfter: retryAfter, Detail: refusalDetails[reason]}
}

// Enter waits for a slot. On success the caller must call Leave once.
func (g *Gate) Acquire(ctx context.Context, r admission.Request) *port.Refusal {
	decision, w := g.offer(r)
	switch decision.Verdict {
	case admission.Admitted:
		return nil
	case admission.Refused:
		return refusalOf(decision.Reason, decision.RetryAfter)
	}
	timer := time.NewTimer(r.Deadline.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.settle(ctx, r, w)
}

func (g *Gate) offer(r admission.Request) (admission.Decision, *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision, changes := g.queue.Offer(g.clock.Now(), r)
	g.wake(changes)
	if decision.Verdict != admission.Queued {
		return decision, nil
	}
	w := &waiter{done: make(chan struct{})}
	g.waiters[r.ID] = w
	return decision, w
}

// settle ends a wait. The waiter's goroutine may run long after its request was
// started, when the process was paused or the caller has gone in between. The
// slot then goes back unused: the caller no longer waits for the answer, and
// the living need the slot.
func (g *Gate) settle(ctx context.Context, r admission.Request, w *waiter) *port.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.refusal != nil {
		return w.refusal
	}
	now := g.clock.Now()
	waiting := g.waiters[r.ID] == w
	if !waiting && ctx.Err() == nil && r.Deadline.After(now) {
		return nil
	}
	if waiting {
		delete(g.waiters, r.ID)
		g.queue.Cancel(r.ID)
	} else {
		g.wake(g.queue.Release(now, r.ID))
	}
	return port.Refuse(port.ReasonDeadline, g.queue.RetryAfter(now, r), "the request got no slot while its caller waited")
}

// Leave gives back the slot of a request that Enter let through.
func (g *Gate) Release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Release(g.clock.Now(), id))
}

// Tick lets waiting requests start that time alone has made room for.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Tick(g.clock.Now()))
}

// MayOffer reports whether the target takes work, for a call that has a slot. It
// is asked after the wait for the slot, since the target may begin to drain
// meanwhile.
func (g *Gate) CheckDraining() *port.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait, ok := g.drain.Allow(g.clock.Now()); !ok {
		return port.Refuse(port.ReasonDraining, wait, "the target sheds all work and is left alone")
	}
	return nil
}

// Observe learns from how a call at the target ended. It must be called before
// Leave. A refusal other than a shed was made before the target was asked, and
// tells nothing of it.
func (g *Gate) Observe(err error) {
	var refusal *port.Refusal
	refused := errors.As(err, &refusal)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !refused {
		g.drain.RecordAccepted()
		return
	}
	if refusal.Reason != port.ReasonShed {
		return
	}
	now := g.clock.Now()
	g.drain.RecordShed(now, g.queue.Running() == 1)
	g.wake(g.queue.Shed(now))
}

// Counts returns how many requests hold a slot and how many wait for one.
func (g *Gate) Counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}
