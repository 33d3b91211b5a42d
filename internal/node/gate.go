package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// gate lets goroutines wait for the decisions of the admission queue. It is
// safe for concurrent use.
type gate struct {
	clock port.Clock

	mu      sync.Mutex
	queue   *admission.Queue
	drain   admission.Drain
	waiters map[string]*waiter
}

// waiter is a goroutine that waits for a slot. Done is closed when its request
// has started or, with a refusal, when it was dropped.
type waiter struct {
	done    chan struct{}
	refusal *port.Refusal
}

func newGate(clock port.Clock, seed uint64) *gate {
	return &gate{clock: clock, queue: admission.NewQueue(admission.Terms{}, seed), waiters: map[string]*waiter{}}
}

// admissionTerms derives the local target's terms from a snapshot: what each
// contract grants of the service that runs on this VM.
func admissionTerms(current *snapshot.Snapshot, config Config) admission.Terms {
	terms := admission.Terms{Shares: map[string]admission.Share{}, QueuePerSlot: config.QueuePerSlot}
	service := current.Service(config.Self.Service)
	if service == nil {
		return terms
	}
	terms.Slots = service.Slots
	terms.LongLent = service.LongLentPart()
	for i := range current.Set().Contracts {
		contract := &current.Set().Contracts[i]
		if grant := contract.Grant(service.Name); grant != nil {
			terms.Shares[contract.Customer] = admission.Share{
				Guaranteed: grant.Share, Limit: grant.Limit, Long: grant.LongLimit,
			}
		}
	}
	return terms
}

func (g *gate) configure(terms admission.Terms) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Configure(g.clock.Now(), terms))
}

func (g *gate) wake(changes admission.Changes) {
	for i := range changes.Started {
		g.end(changes.Started[i].ID, nil)
	}
	for i := range changes.Dropped {
		drop := &changes.Dropped[i]
		g.end(drop.Request.ID, refusalOf(drop.Reason, drop.RetryAfter))
	}
}

func (g *gate) end(id string, refusal *port.Refusal) {
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

// enter waits for a slot. On success the caller must call leave once.
func (g *gate) enter(ctx context.Context, r admission.Request) *port.Refusal {
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

func (g *gate) offer(r admission.Request) (admission.Decision, *waiter) {
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
func (g *gate) settle(ctx context.Context, r admission.Request, w *waiter) *port.Refusal {
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

func (g *gate) leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Release(g.clock.Now(), id))
}

// tick lets waiting requests start that time alone has made room for.
func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Tick(g.clock.Now()))
}

// mayOffer reports whether the target takes work, for a call that has a slot. It
// is asked after the wait for the slot, since the target may begin to drain
// meanwhile.
func (g *gate) mayOffer() *port.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait, ok := g.drain.Offer(g.clock.Now()); !ok {
		return port.Refuse(port.ReasonDraining, wait, "the target sheds all work and is left alone")
	}
	return nil
}

// observe learns from how a call at the target ended. It must be called before
// leave. A refusal other than a shed was made before the target was asked, and
// tells nothing of it.
func (g *gate) observe(err error) {
	var refusal *port.Refusal
	refused := errors.As(err, &refusal)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !refused {
		g.drain.Took()
		return
	}
	if refusal.Reason != port.ReasonShed {
		return
	}
	now := g.clock.Now()
	g.drain.Shed(now, g.queue.Running() == 1)
	g.wake(g.queue.Shed(now))
}

func (g *gate) counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}
