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

type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

func oneSlot() admission.Terms {
	return admission.Terms{Slots: 1, QueuePerSlot: 4, Shares: map[string]admission.Share{"a": {Guaranteed: 1, Limit: 1}}}
}

// heldGate returns a gate of one slot that "running" holds.
func heldGate(t *testing.T) *Gate {
	g := New(virtualClock{}, 1)
	g.Configure(oneSlot())
	assert.Check(t, g.Enter(t.Context(), gateRequest("running", time.Minute)) == nil)
	return g
}

func gateRequest(id string, wait time.Duration) admission.Request {
	return admission.Request{ID: id, Customer: "a", Deadline: time.Now().Add(wait)}
}

// enterLater starts a goroutine that waits at the gate and tells the outcome.
func enterLater(ctx context.Context, g *Gate, r admission.Request) <-chan *port.Refusal {
	outcome := make(chan *port.Refusal, 1)
	go func() { outcome <- g.Enter(ctx, r) }()
	synctest.Wait()
	return outcome
}

// A caller hangs up while its request waits. The request leaves the queue at
// once, and the slot goes to the next caller when it falls free.
func TestVanishedCallerLeavesTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := heldGate(t)
		ctx, hangUp := context.WithCancel(t.Context())
		gone := enterLater(ctx, g, gateRequest("gone", time.Minute))
		next := enterLater(t.Context(), g, gateRequest("next", time.Minute))
		hangUp()
		assert.Equal(t, (<-gone).Reason, port.ReasonDeadline)
		g.Leave("running")
		assert.Check(t, <-next == nil)
		running, waiting := g.Counts()
		assert.DeepEqual(t, []int{running, waiting}, []int{1, 0})
	})
}

// A slot is given to a waiting request, but its goroutine wakes only after the
// deadline, as it does when the process is paused in between. The caller has
// gone; the request must not run, and its slot goes to one whose caller waits.
func TestRequestThatWakesPastItsDeadlineDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := heldGate(t)
		late := gateRequest("late", time.Second)
		_, w := g.offer(late)
		next := enterLater(t.Context(), g, gateRequest("next", time.Minute))
		g.Leave("running")
		time.Sleep(time.Minute / 2)
		assert.Equal(t, g.settle(t.Context(), late, w).Reason, port.ReasonDeadline)
		assert.Check(t, <-next == nil)
	})
}

// A request that no slot frees up for is answered at its deadline, with a time
// to come back, and its place in the queue is free again.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := heldGate(t)
		begin := time.Now()
		refusal := g.Enter(t.Context(), gateRequest("hopeful", time.Second))
		assert.Equal(t, refusal.Reason, port.ReasonDeadline)
		assert.Check(t, refusal.RetryAfter > 0)
		assert.Equal(t, time.Since(begin), time.Second)
		_, waiting := g.Counts()
		assert.Equal(t, waiting, 0)
	})
}

// A new version withdraws the grant of a customer whose requests wait. They are
// answered at once, as not run, instead of at their deadlines.
func TestWithdrawnGrantAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := heldGate(t)
		waiting := enterLater(t.Context(), g, gateRequest("waiting", time.Minute))
		g.Configure(admission.Terms{Slots: 1, QueuePerSlot: 4})
		assert.Equal(t, (<-waiting).Reason, port.ReasonNoGrant)
		g.Leave("running")
		running, _ := g.Counts()
		assert.Equal(t, running, 0)
	})
}

// The target sheds what the gate admitted. The gate sends it less for a while,
// and an error that proves nothing about slots changes nothing.
func TestShedsAtTheTargetLowerTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(virtualClock{}, 1)
		terms := oneSlot()
		terms.Slots = 2
		g.Configure(terms)
		for _, id := range []string{"one", "two"} {
			assert.Check(t, g.Enter(t.Context(), gateRequest(id, time.Minute)) == nil)
		}
		g.Observe(&port.UnknownOutcome{Stage: "answer"})
		assert.Equal(t, g.queue.Slots(), 2)
		g.Observe(port.Refuse(port.ReasonShed, 0, "shed"))
		g.Leave("two")
		assert.Equal(t, g.queue.Slots(), 1)
		waiting := enterLater(t.Context(), g, gateRequest("three", time.Minute))
		g.Leave("one")
		assert.Check(t, <-waiting == nil)
	})
}

// Many callers come, hang up and run into deadlines while slots change. At the
// end no slot and no waiter is left behind, which under the race detector also
// shows that the gate is safe for concurrent use.
func TestGateLeaksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(virtualClock{}, 1)
		g.Configure(oneSlot())
		for i := range 300 {
			ctx, hangUp := context.WithTimeout(t.Context(), time.Duration(i%7+1)*10*time.Millisecond)
			go func() {
				defer hangUp()
				r := gateRequest(fmt.Sprintf("r%d", i), time.Duration(i%5+1)*10*time.Millisecond)
				if g.Enter(ctx, r) == nil {
					time.Sleep(time.Duration(i%3) * time.Millisecond)
					g.Leave(r.ID)
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

// One customer sends twenty times its contract, another what it was promised.
// Each caller is a goroutine of its own, as in the node. The second customer
// gets what it asks for, no slot is idle, and refused callers hear at once.
func TestGateKeepsContractsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, service, seconds = 10, 50 * time.Millisecond, 4
		g := New(virtualClock{}, 1)
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
					if refusal := g.Enter(t.Context(), r); refusal != nil {
						assert.Check(t, time.Since(start) == 0, "told after %s", time.Since(start))
						return
					}
					time.Sleep(service)
					g.Leave(r.ID)
					served[i].Add(1)
				})
			}
		}
		send(0, "steady", 0.6*perSecond)
		send(1, "surge", 20*0.4*perSecond)
		callers.Wait()
		total := perSecond * seconds
		assert.Check(t, float64(served[0].Load()) >= 0.99*0.6*total, "%d of %.0f", served[0].Load(), 0.6*total)
		assert.Check(t, float64(served[0].Load()+served[1].Load()) >= 0.99*total)
	})
}

// A trial's deadline passes before the target is asked. That proves nothing, and
// must not open the way for all calls to a target that still drains.
func TestUnsentTrialProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(virtualClock{}, 1)
		g.Configure(oneSlot())
		for _, id := range []string{"one", "two"} {
			assert.Check(t, g.Enter(t.Context(), gateRequest(id, time.Minute)) == nil)
			assert.Check(t, g.MayOffer() == nil)
			g.Observe(port.Refuse(port.ReasonShed, 0, "shed"))
			g.Leave(id)
		}
		assert.Check(t, g.MayOffer() != nil)
		time.Sleep(time.Second)
		assert.Check(t, g.MayOffer() == nil, "the trial")
		g.Observe(port.Refuse(port.ReasonDeadline, 0, "not sent"))
		assert.Check(t, g.MayOffer() != nil)
	})
}
