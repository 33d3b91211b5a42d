// Package gate makes goroutines wait for the decisions of the admission queue of one
// target.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/port"
	"tamarackquay/internal/targetspeed"
)

// Gate holds the admission queue and the goroutines that wait in it. It is safe for
// concurrent use.
type Gate struct {
	clock port.Clock

	mu      sync.Mutex
	queue   *admission.Queue
	breaker admission.Breaker
	waiters map[string]*waiter
	// startTimer is set while a timer runs that starts waiting requests.
	startTimer bool
}

// waiter is a goroutine that waits for a slot. done is closed when its request has
// started or was dropped; in the latter case refusal is set.
type waiter struct {
	done    chan struct{}
	refusal *port.Refusal
}

// New returns a gate without terms, which refuses all requests. seed initializes the
// random numbers that spread retry times.
func New(clock port.Clock, seed uint64) *Gate {
	return &Gate{clock: clock, queue: admission.NewQueue(admission.Terms{}, seed), waiters: map[string]*waiter{}}
}

// Configure applies new terms; see admission.Queue.Configure.
func (g *Gate) Configure(terms admission.Terms) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.queue.Configure(g.clock.Now(), terms))
}

func (g *Gate) notifyWaiters(changes admission.Changes) {
	for i := range changes.Started {
		g.finish(changes.Started[i].ID, nil)
	}
	for i := range changes.Dropped {
		drop := &changes.Dropped[i]
		g.finish(drop.Request.ID, newRefusal(drop.Reason, drop.RetryAfter))
	}
	g.scheduleStart()
}

// scheduleStart sets a timer for the next start if requests wait for the start rate alone.
func (g *Gate) scheduleStart() {
	wait := g.queue.UntilStart(g.clock.Now())
	if wait <= 0 || g.startTimer {
		return
	}
	g.startTimer = true
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.startTimer = false
		g.notifyWaiters(g.queue.Tick(g.clock.Now()))
	})
}

// SetStartRate limits how fast requests are started; see admission.StartRate.
func (g *Gate) SetStartRate(rate admission.StartRate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.queue.SetStartRate(g.clock.Now(), rate))
}

// SetSpeed sets the speed of the target; see admission.Queue.SetSpeed.
func (g *Gate) SetSpeed(now time.Time, speed targetspeed.Speed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetSpeed(now, speed)
}

func (g *Gate) finish(id string, refusal *port.Refusal) {
	w := g.waiters[id]
	if w == nil {
		return
	}
	w.refusal = refusal
	close(w.done)
	delete(g.waiters, id)
}

// refusalDetails describes each reason in a sentence.
var refusalDetails = map[admission.Reason]string{
	admission.ReasonQueueFull: "the customer is over its contract and its queue at this target is full",
	admission.ReasonDeadline:  "no slot is likely to fall free before the deadline",
	admission.ReasonLimit:     "the customer holds as many slots as its contract allows",
	admission.ReasonNoGrant:   "the customer's contract grants nothing of this service",
	admission.ReasonBusy:      "no slot is free at this target",
	admission.ReasonDuplicate: "a request with this id is known already",
}

func newRefusal(reason admission.Reason, retryAfter time.Duration) *port.Refusal {
	return &port.Refusal{Reason: port.Reason(reason), RetryAfter: retryAfter, Detail: refusalDetails[reason]}
}

// Acquire waits for a slot until the request's deadline passes or ctx ends. It returns nil
// if the request got a slot; the caller must then call Release once. Otherwise it returns
// the refusal.
func (g *Gate) Acquire(ctx context.Context, r admission.Request) *port.Refusal {
	decision, w := g.offer(r)
	switch decision.Verdict {
	case admission.Admitted:
		return nil
	case admission.Refused:
		return newRefusal(decision.Reason, decision.RetryAfter)
	}
	timer := time.NewTimer(r.Deadline.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.endWait(ctx, r, w)
}

func (g *Gate) offer(r admission.Request) (admission.Decision, *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision, changes := g.queue.Offer(g.clock.Now(), r)
	g.notifyWaiters(changes)
	if decision.Verdict != admission.Queued {
		return decision, nil
	}
	w := &waiter{done: make(chan struct{})}
	g.waiters[r.ID] = w
	g.scheduleStart()
	return decision, w
}

// endWait ends a wait. The waiter's goroutine may run long after its request was
// started, if the process was paused or the caller disconnected in between. The slot is
// then released unused: the caller no longer waits for the response, and other requests
// need the slot.
func (g *Gate) endWait(ctx context.Context, r admission.Request, w *waiter) *port.Refusal {
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
		g.notifyWaiters(g.queue.Release(now, r.ID))
	}
	return port.Refuse(port.ReasonDeadline, g.queue.RetryAfter(now, r), "the request got no slot while its caller waited")
}

// Release frees the slot of a request for which Acquire succeeded.
func (g *Gate) Release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.queue.Release(g.clock.Now(), id))
}

// Tick starts waiting requests that can start only because time has passed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.queue.Tick(g.clock.Now()))
}

// CheckDraining returns a refusal if the target is considered to be draining, for a call
// that has a slot. It must be called after the wait for the slot, since the target may
// begin to drain in the meantime.
func (g *Gate) CheckDraining() *port.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait, ok := g.breaker.Allow(g.clock.Now()); !ok {
		return port.Refuse(port.ReasonDraining, wait, "the target sheds all work and is left alone")
	}
	return nil
}

// Observe updates the breaker and the slots from the result of a call at the target. It
// must be called before Release. A refusal other than a shed was made before the call
// was sent to the target, so it contains no information about the target.
func (g *Gate) Observe(err error) {
	var refusal *port.Refusal
	refused := errors.As(err, &refusal)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !refused {
		g.breaker.RecordAccepted()
		return
	}
	if refusal.Reason != port.ReasonShed {
		return
	}
	now := g.clock.Now()
	g.breaker.RecordShed(now, g.queue.Running() == 1)
	g.notifyWaiters(g.queue.RecordShed(now))
}

// Counts returns the number of requests that hold a slot and the number that wait for
// one.
func (g *Gate) Counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}
