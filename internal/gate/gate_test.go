package gate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/port"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func oneSlot() admission.Terms {
	return admission.Terms{Slots: 1, QueuePerSlot: 4, Shares: map[string]admission.Share{"a": {Guaranteed: 1, Limit: 1}}}
}

// newFullGate returns a gate with one slot, held by the request "running".
func newFullGate(t *testing.T) *Gate {
	g := New(systemClock{}, 1)
	g.Configure(oneSlot())
	assert.Check(t, g.Acquire(t.Context(), newRequest("running", time.Minute)) == nil)
	return g
}

func newRequest(id string, wait time.Duration) admission.Request {
	return admission.Request{ID: id, Customer: "a", Deadline: time.Now().Add(wait)}
}

// acquireAsync starts a goroutine that waits for a slot and sends the result.
func acquireAsync(ctx context.Context, g *Gate, r admission.Request) <-chan *port.Refusal {
	result := make(chan *port.Refusal, 1)
	go func() { result <- g.Acquire(ctx, r) }()
	synctest.Wait()
	return result
}

// A caller disconnects while its request waits. The request must leave the queue at
// once, and the slot must go to the next caller when it becomes free.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullGate(t)
		ctx, cancel := context.WithCancel(t.Context())
		canceled := acquireAsync(ctx, g, newRequest("canceled", time.Minute))
		next := acquireAsync(t.Context(), g, newRequest("next", time.Minute))
		cancel()
		assert.Equal(t, (<-canceled).Reason, port.ReasonDeadline)
		g.Release("running")
		assert.Check(t, <-next == nil)
		running, waiting := g.Counts()
		assert.DeepEqual(t, []int{running, waiting}, []int{1, 0})
	})
}

// A slot is given to a waiting request whose goroutine runs only after the deadline, as
// happens if the process is paused in between. The caller has disconnected: the request
// must not run, and its slot must go to a request whose caller still waits.
func TestRequestResumedPastDeadlineDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullGate(t)
		late := newRequest("late", time.Second)
		_, w := g.offer(late)
		next := acquireAsync(t.Context(), g, newRequest("next", time.Minute))
		g.Release("running")
		time.Sleep(time.Minute / 2)
		assert.Equal(t, g.endWait(t.Context(), late, w).Reason, port.ReasonDeadline)
		assert.Check(t, <-next == nil)
	})
}

// A request for which no slot becomes free must be refused at its deadline, with a retry
// time, and its place in the queue must be free again.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullGate(t)
		begin := time.Now()
		refusal := g.Acquire(t.Context(), newRequest("waiting", time.Second))
		assert.Equal(t, refusal.Reason, port.ReasonDeadline)
		assert.Check(t, refusal.RetryAfter > 0)
		assert.Equal(t, time.Since(begin), time.Second)
		_, waiting := g.Counts()
		assert.Equal(t, waiting, 0)
	})
}

// A new version withdraws the grant of a customer whose requests wait. They must be
// refused at once, as not run, and not only at their deadlines.
func TestWithdrawnGrantRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullGate(t)
		waiting := acquireAsync(t.Context(), g, newRequest("waiting", time.Minute))
		g.Configure(admission.Terms{Slots: 1, QueuePerSlot: 4})
		assert.Equal(t, (<-waiting).Reason, port.ReasonNoGrant)
		g.Release("running")
		running, _ := g.Counts()
		assert.Equal(t, running, 0)
	})
}

// The target sheds requests that the gate admitted. The gate must admit fewer for a
// while; an error that proves nothing about slots must change nothing.
func TestShedsReduceTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(systemClock{}, 1)
		terms := oneSlot()
		terms.Slots = 2
		g.Configure(terms)
		for _, id := range []string{"one", "two"} {
			assert.Check(t, g.Acquire(t.Context(), newRequest(id, time.Minute)) == nil)
		}
		g.Observe(&port.UnknownOutcome{Stage: "answer"})
		assert.Equal(t, g.queue.Slots(), 2)
		g.Observe(port.Refuse(port.ReasonShed, 0, "shed"))
		g.Release("two")
		assert.Equal(t, g.queue.Slots(), 1)
		waiting := acquireAsync(t.Context(), g, newRequest("three", time.Minute))
		g.Release("one")
		assert.Check(t, <-waiting == nil)
	})
}

// Many callers arrive, disconnect and reach their deadlines while the number of slots
// changes. At the end no slot and no waiter may be left over. Run under the race
// detector, this also shows that the gate is safe for concurrent use.
func TestGateLeaksNoSlotsOrWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(systemClock{}, 1)
		g.Configure(oneSlot())
		for i := range 300 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7+1)*10*time.Millisecond)
			go func() {
				defer cancel()
				r := newRequest(fmt.Sprintf("r%d", i), time.Duration(i%5+1)*10*time.Millisecond)
				if g.Acquire(ctx, r) == nil {
					time.Sleep(time.Duration(i%3) * time.Millisecond)
					g.Release(r.ID)
				}
			}()
			if i%50 == 0 {
				terms := oneSlot()
				terms.Slots = 1 + i%4
				g.Configure(terms)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		running, waiting := g.Counts()
		assert.DeepEqual(t, []int{running, waiting, len(g.waiters)}, []int{0, 0, 0})
	})
}

// One customer sends twenty times its contract, another as much as its contract
// guarantees. Each caller is a goroutine of its own, as in a node. The second customer
// must get all that it requests, no slot may be idle, and refused callers must be
// refused at once.
func TestGateKeepsContractsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, service, seconds = 10, 50 * time.Millisecond, 4
		g := New(systemClock{}, 1)
		g.Configure(admission.Terms{Slots: slots, QueuePerSlot: 8, Shares: map[string]admission.Share{
			"steady": {Guaranteed: 0.6, Limit: 1}, "surge": {Guaranteed: 0.4, Limit: 1},
		}})
		perSecond := float64(slots) / service.Seconds()
		var served [2]atomic.Int64
		var callers sync.WaitGroup
		send := func(i int, customer string, rate float64) {
			for n := range int(rate * seconds) {
				callers.Go(func() {
					time.Sleep(time.Duration(float64(n) / rate * float64(time.Second)))
					start := time.Now()
					r := admission.Request{ID: fmt.Sprintf("%s-%d", customer, n), Customer: customer, Deadline: start.Add(2 * time.Second)}
					if refusal := g.Acquire(t.Context(), r); refusal != nil {
						assert.Check(t, time.Since(start) == 0, "refused after %s", time.Since(start))
						return
					}
					time.Sleep(service)
					g.Release(r.ID)
					served[i].Add(1)
				})
			}
		}
		send(0, "steady", 0.6*perSecond)
		send(1, "surge", 20*0.4*perSecond)
		callers.Wait()
		total := perSecond * seconds
		assert.Check(t, float64(served[0].Load()) >= 0.99*0.6*total, "%d requests served, %.0f expected", served[0].Load(), 0.6*total)
		assert.Check(t, float64(served[0].Load()+served[1].Load()) >= 0.99*total)
	})
}

// The deadline of a probe passes before the call is sent to the target. This proves
// nothing, and must not close the breaker for a target that still drains.
func TestUnsentProbeKeepsBreakerOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(systemClock{}, 1)
		g.Configure(oneSlot())
		for _, id := range []string{"one", "two"} {
			assert.Check(t, g.Acquire(t.Context(), newRequest(id, time.Minute)) == nil)
			assert.Check(t, g.CheckDraining() == nil)
			g.Observe(port.Refuse(port.ReasonShed, 0, "shed"))
			g.Release(id)
		}
		assert.Check(t, g.CheckDraining() != nil)
		time.Sleep(time.Second)
		assert.Check(t, g.CheckDraining() == nil, "the probe")
		g.Observe(port.Refuse(port.ReasonDeadline, 0, "not sent"))
		assert.Check(t, g.CheckDraining() != nil)
	})
}
