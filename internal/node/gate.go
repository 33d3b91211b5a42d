package node

import (
	"context"
	"sync"
	"time"

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
	waiters map[string]chan struct{}
}

func newGate(clock port.Clock) *gate {
	return &gate{clock: clock, queue: admission.NewQueue(admission.Terms{}), waiters: map[string]chan struct{}{}}
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
	for i := range current.Set().Contracts {
		contract := &current.Set().Contracts[i]
		if grant := contract.Grant(service.Name); grant != nil {
			terms.Shares[contract.Customer] = admission.Share{Guaranteed: grant.Share, Limit: grant.Limit}
		}
	}
	return terms
}

func (g *gate) configure(terms admission.Terms) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Configure(g.clock.Now(), terms))
}

func (g *gate) wake(started []admission.Request) {
	for _, r := range started {
		close(g.waiters[r.ID])
		delete(g.waiters, r.ID)
	}
}

// enter waits for a slot. On success the caller must call leave once.
func (g *gate) enter(ctx context.Context, r admission.Request) *port.Refusal {
	decision, started := g.offer(r)
	switch decision.Verdict {
	case admission.Admitted:
		return nil
	case admission.Refused:
		return port.Refuse(port.Reason(decision.Reason), decision.RetryAfter, "admission refused the request")
	}
	timer := time.NewTimer(r.Deadline.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case <-started:
		return nil
	case <-timer.C:
		return g.giveUp(r, port.ReasonDeadline)
	case <-ctx.Done():
		return g.giveUp(r, port.ReasonDeadline)
	}
}

func (g *gate) offer(r admission.Request) (admission.Decision, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.queue.Offer(g.clock.Now(), r)
	if decision.Verdict != admission.Queued {
		return decision, nil
	}
	started := make(chan struct{})
	g.waiters[r.ID] = started
	return decision, started
}

// giveUp takes a request out of the queue. If it was started in the same
// moment its slot is given back: the caller has been told that it did not run.
func (g *gate) giveUp(r admission.Request, reason port.Reason) *port.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(r.ID) {
		g.wake(g.queue.Release(g.clock.Now(), r.ID))
	}
	delete(g.waiters, r.ID)
	return port.Refuse(reason, time.Second, "the request waited for a slot until its deadline")
}

func (g *gate) leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Release(g.clock.Now(), id))
}

func (g *gate) counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting()
}
