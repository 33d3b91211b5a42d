package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// bench is a queue whose requests are named by their order.
type bench struct {
	t   *testing.T
	q   *Queue
	now time.Time
	n   int
}

func newBench(t *testing.T, slots int, shares map[string]Share) *bench {
	return &bench{t: t, now: start, q: NewQueue(Terms{Slots: slots, Shares: shares, QueuePerSlot: 4}, 1)}
}

func (b *bench) offer(r Request) (string, Decision, Changes) {
	b.n++
	r.ID = fmt.Sprintf("r%d", b.n)
	if r.Deadline.IsZero() {
		r.Deadline = b.now.Add(10 * time.Second)
	}
	decision, changes := b.q.Offer(b.now, r)
	return r.ID, decision, changes
}

func (b *bench) admit(count int, r Request) []string {
	b.t.Helper()
	var ids []string
	for range count {
		id, decision, _ := b.offer(r)
		assert.Equal(b.t, decision.Verdict, Admitted, "%+v", decision)
		ids = append(ids, id)
	}
	return ids
}

func (b *bench) enqueue(count int, r Request) []string {
	b.t.Helper()
	var ids []string
	for range count {
		id, decision, _ := b.offer(r)
		assert.Equal(b.t, decision.Verdict, Queued, "%+v", decision)
		ids = append(ids, id)
	}
	return ids
}

func (b *bench) release(id string) []string {
	var started []string
	for _, r := range b.q.Release(b.now, id).Started {
		started = append(started, r.ID)
	}
	return started
}

func halves() map[string]Share {
	return map[string]Share{"a": {Guaranteed: 0.5, Limit: 1}, "b": {Guaranteed: 0.5, Limit: 1}}
}

// A customer that was idle comes back while another has borrowed all its slots
// and has more waiting. Every slot that falls free goes to the one that came
// back, until it has its guarantee, though its requests came last.
func TestLentSlotReturnsWithNextFreeSlot(t *testing.T) {
	b := newBench(t, 4, halves())
	borrowed := b.admit(4, Request{Customer: "a"})
	b.enqueue(4, Request{Customer: "a"})
	owed := b.enqueue(2, Request{Customer: "b"})
	assert.DeepEqual(t, b.release(borrowed[0]), owed[:1])
	assert.DeepEqual(t, b.release(borrowed[1]), owed[1:])
}

// Three shares of 0.4, 0.35 and 0.25 of two slots are 0.8, 0.7 and 0.5 slots.
// Whole slots can't give any of them its part at once, so the slots must pass
// from one to the other: over time each gets its part and none starves.
func TestSharesUnderOneSlotAreKeptOverTime(t *testing.T) {
	shares := map[string]Share{"a": {Guaranteed: 0.4, Limit: 1}, "b": {Guaranteed: 0.35, Limit: 1}, "c": {Guaranteed: 0.25, Limit: 1}}
	b := newBench(t, 2, shares)
	var running []Request
	served := map[string]int{}
	const rounds = 4000
	for range rounds {
		for _, customer := range []string{"a", "b", "c"} {
			if id, decision, _ := b.offer(Request{Customer: customer}); decision.Verdict == Admitted {
				running = append(running, Request{ID: id, Customer: customer})
			}
		}
		b.now = b.now.Add(100 * time.Millisecond)
		served[running[0].Customer]++
		running = append(running[1:], b.q.Release(b.now, running[0].ID).Started...)
	}
	for customer, share := range shares {
		part := float64(served[customer]) / rounds
		assert.Check(t, part > 0.99*share.Guaranteed, "%s got %.3f of the slots, %.2f are guaranteed", customer, part, share.Guaranteed)
	}
}

// For an hour one customer holds three slots of which one and a half are its
// own, while nobody else wants them. Then another claims its part. Both get
// their halves of the slot between them from then on: use of what was idle is
// not held against anyone later.
func TestUseOfIdleSlotsIsNotHeldAgainstACustomer(t *testing.T) {
	b := newBench(t, 3, halves())
	running := b.admit(3, Request{Customer: "a"})
	customer := map[string]string{}
	served := map[string]int{}
	turn := func() {
		b.now = b.now.Add(100 * time.Millisecond)
		started := b.release(running[0])
		running = append(running[1:], started...)
		served[customer[started[0]]]++
	}
	for range 36_000 {
		b.enqueue(1, Request{Customer: "a"})
		turn()
	}
	clear(served)
	for range 600 {
		for _, name := range []string{"a", "b"} {
			id, _, _ := b.offer(Request{Customer: name})
			customer[id] = name
		}
		turn()
	}
	assert.Check(t, served["a"] >= 290 && served["b"] >= 290, "%v", served)
}

// One customer sends twenty times what another does and fills its own queue. The
// other's request still finds room, since each customer's queue is bounded.
func TestOneCustomerCannotFillTheQueueForOthers(t *testing.T) {
	b := newBench(t, 4, halves())
	b.admit(4, Request{Customer: "a"})
	b.enqueue(8, Request{Customer: "a"})
	_, refused, _ := b.offer(Request{Customer: "a"})
	assert.Equal(t, refused.Reason, ReasonQueueFull)
	b.enqueue(1, Request{Customer: "b"})
}

// A customer at its limit waits although slots are free, and the reason for
// refusing more is its limit.
func TestLimitIsNeverPassed(t *testing.T) {
	b := newBench(t, 4, map[string]Share{"a": {Guaranteed: 0.25, Limit: 0.5}})
	first := b.admit(2, Request{Customer: "a"})
	waiting := b.enqueue(4, Request{Customer: "a"})
	_, refused, _ := b.offer(Request{Customer: "a"})
	assert.Equal(t, refused.Reason, ReasonLimit)
	assert.DeepEqual(t, b.release(first[0]), waiting[:1])
}

// Lookups of the same contract fill the queue when an inspector comes. The last
// lookup is dropped at once, as not run, and the inspector is served next.
func TestEarlierClassDisplacesLaterClass(t *testing.T) {
	b := newBench(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	running := b.admit(2, Request{Customer: "a", Rank: 1})
	lookups := b.enqueue(8, Request{Customer: "a", Rank: 1})
	inspector, decision, changes := b.offer(Request{Customer: "a", Rank: 0})
	assert.Equal(t, decision.Verdict, Queued)
	assert.Equal(t, len(changes.Dropped), 1)
	assert.Equal(t, changes.Dropped[0].Request.ID, lookups[7])
	assert.Equal(t, changes.Dropped[0].Reason, ReasonQueueFull)
	assert.Check(t, changes.Dropped[0].RetryAfter > 0)
	assert.DeepEqual(t, b.release(running[0]), []string{inspector})
}

// New chains and inner calls of older chains compete at one target that is
// overloaded. Inner calls are served first, and when the queue is full it is a
// new chain that is dropped: the work that inner calls stand for is already
// paid for.
func TestDeeperCallsGoFirstAndOverloadIsRefusedAtTheEdge(t *testing.T) {
	b := newBench(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	running := b.admit(1, Request{Customer: "a"})
	edge := b.enqueue(4, Request{Customer: "a"})
	inner, decision, changes := b.offer(Request{Customer: "a", Depth: 5})
	assert.Equal(t, decision.Verdict, Queued)
	assert.Equal(t, changes.Dropped[0].Request.ID, edge[3])
	assert.DeepEqual(t, b.release(running[0]), []string{inner})
}

// Two outer calls hold both slots of a target, and each waits for an inner call
// that needs a slot of the same target. Nothing can run until an outer call
// ends at its deadline; then its slot goes to an inner call and not to one of
// the new chains that came before it, so the cycle dissolves.
func TestCycleDissolvesWhenAnOuterCallEnds(t *testing.T) {
	b := newBench(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	outer := b.admit(2, Request{Customer: "a"})
	b.enqueue(3, Request{Customer: "a"})
	inner := b.enqueue(2, Request{Customer: "a", Depth: 1})
	b.now = b.now.Add(2 * time.Second)
	assert.DeepEqual(t, b.release(outer[0]), inner[:1])
}

// Chains come back to the service that they hold a slot of. New chains must not
// take the last slot: were all held by outer calls, no inner call could run and
// nothing would end before its deadline. Once such chains have stopped coming,
// nothing is kept back.
func TestCycleFindsAReservedSlot(t *testing.T) {
	b := newBench(t, 3, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	outer := b.admit(1, Request{Customer: "a"})
	inner := b.admit(1, Request{Customer: "a", Depth: 1, Revisits: 1})
	b.release(inner[0])
	b.admit(1, Request{Customer: "a"})
	chain := b.enqueue(1, Request{Customer: "a", Deadline: b.now.Add(time.Minute)})
	inner = b.admit(1, Request{Customer: "a", Depth: 1, Revisits: 1})
	assert.Equal(t, len(b.release(inner[0])), 0, "the slot is kept for the next inner call")
	b.now = b.now.Add(2 * revisitMemory)
	assert.DeepEqual(t, b.release(outer[0]), chain)
	b.admit(1, Request{Customer: "a"})
}

// Archives may borrow only a bounded part of what others are guaranteed, so the
// short requests of a customer that comes back find the rest at once. Slots
// that nobody is guaranteed are lent to archives freely.
func TestLongRequestsBorrowABoundedPart(t *testing.T) {
	b := newBench(t, 8, nil)
	b.q.Configure(b.now, Terms{Slots: 8, QueuePerSlot: 4, LongBorrowLimit: 0.25, Shares: map[string]Share{
		"a": {Guaranteed: 0.25, Limit: 1}, "b": {Guaranteed: 0.5, Limit: 1},
	}})
	b.admit(6, Request{Customer: "a", Long: true})
	b.enqueue(1, Request{Customer: "a", Long: true})
	b.admit(2, Request{Customer: "b"})
}

// A customer's own archives leave room for its own short requests.
func TestLongLimitLeavesRoomForTheCustomersOwnShortRequests(t *testing.T) {
	b := newBench(t, 4, map[string]Share{"a": {Guaranteed: 1, Limit: 1, LongLimit: 0.5}})
	b.admit(2, Request{Customer: "a", Long: true})
	b.enqueue(2, Request{Customer: "a", Long: true})
	b.admit(2, Request{Customer: "a", Rank: 1})
}

// The target loses half its slots while all run and more wait. Nothing that
// runs is cut, nothing starts until the excess has ended, and what waits is
// neither lost nor doubled.
func TestHalfTheSlotsLost(t *testing.T) {
	b := newBench(t, 4, halves())
	running := append(b.admit(2, Request{Customer: "a"}), b.admit(2, Request{Customer: "b"})...)
	waiting := append(b.enqueue(2, Request{Customer: "a"}), b.enqueue(2, Request{Customer: "b"})...)
	changes := b.q.Configure(b.now, Terms{Slots: 2, QueuePerSlot: 4, Shares: halves()})
	assert.Equal(t, len(changes.Started)+len(changes.Dropped), 0)
	assert.Equal(t, b.q.Running(), 4)
	assert.Equal(t, len(b.release(running[0])), 0)
	assert.Equal(t, len(b.release(running[2])), 0)
	started := append(b.release(running[1]), b.release(running[3])...)
	assert.DeepEqual(t, started, []string{waiting[0], waiting[2]})
	assert.Equal(t, b.q.Waiting(), 2)
}

// A new version takes a customer's grant away while its requests wait and run.
// The waiting ones end at once as not run; what runs is left to finish.
func TestWithdrawnGrantEndsWaitingRequests(t *testing.T) {
	b := newBench(t, 2, halves())
	running := b.admit(2, Request{Customer: "a"})
	b.enqueue(2, Request{Customer: "a"})
	changes := b.q.Configure(b.now, Terms{Slots: 2, QueuePerSlot: 4, Shares: map[string]Share{"b": {Guaranteed: 1, Limit: 1}}})
	assert.Equal(t, len(changes.Dropped), 2)
	assert.Equal(t, changes.Dropped[0].Reason, ReasonNoGrant)
	assert.Equal(t, b.q.Running(), 2)
	other := b.enqueue(1, Request{Customer: "b"})
	assert.DeepEqual(t, b.release(running[0]), other)
	b.release(running[1])
	assert.Equal(t, len(b.q.customers), 1)
}

// The process sleeps for a minute with a full queue and wakes: every caller of
// the queue has gone. None of their requests is started; the slot goes to the
// one request that is still wanted.
func TestWakingQueueStartsNoDeadRequest(t *testing.T) {
	b := newBench(t, 1, halves())
	id := b.admit(1, Request{Customer: "a"})[0]
	b.enqueue(4, Request{Customer: "a", Deadline: b.now.Add(2 * time.Second)})
	living := b.enqueue(1, Request{Customer: "b", Deadline: b.now.Add(2 * time.Minute)})
	b.now = b.now.Add(time.Minute)
	changes := b.q.Release(b.now, id)
	assert.Equal(t, len(changes.Started), 1)
	assert.Equal(t, changes.Started[0].ID, living[0])
	b.release(living[0])
	assert.Equal(t, b.q.Waiting(), 0)
}

// A full queue of dead requests is no reason to refuse a living one.
func TestDeadRequestsDoNotFillTheQueue(t *testing.T) {
	b := newBench(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	b.admit(1, Request{Customer: "a"})
	b.enqueue(4, Request{Customer: "a", Deadline: b.now.Add(time.Second)})
	b.now = b.now.Add(time.Minute)
	_, decision, changes := b.offer(Request{Customer: "a"})
	assert.Equal(t, decision.Verdict, Queued)
	assert.Equal(t, len(changes.Dropped), 4)
}

// Callers hang up while their requests wait. Each is taken out once, and the
// slot goes to one who still waits.
func TestVanishedCallersLeaveTheQueue(t *testing.T) {
	b := newBench(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	id := b.admit(1, Request{Customer: "a"})[0]
	waiting := b.enqueue(3, Request{Customer: "a"})
	assert.Check(t, b.q.Cancel(waiting[0]))
	assert.Check(t, !b.q.Cancel(waiting[0]))
	assert.Check(t, !b.q.Cancel(id), "a running request is not in the queue")
	assert.DeepEqual(t, b.release(id), waiting[1:2])
}

// The target reports free slots but sheds: it has lost half its capacity. The
// node learns it from the sheds alone, stops sending more than the target
// takes, and tries one slot more for each quiet second.
func TestShedsLowerTheSlotsForAWhile(t *testing.T) {
	b := newBench(t, 4, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	ids := b.admit(4, Request{Customer: "a"})
	for _, id := range ids[2:] {
		b.q.Shed(b.now)
		b.release(id)
	}
	assert.Equal(t, b.q.Slots(), 2)
	waiting := b.enqueue(2, Request{Customer: "a"})
	b.now = b.now.Add(shedRecovery)
	assert.DeepEqual(t, b.release(ids[0]), waiting)
	b.now = b.now.Add(5 * shedRecovery)
	b.release(ids[1])
	assert.Equal(t, b.q.Slots(), 4)
}

// A target sheds while an archive runs and a short request waits, and is well a
// second later. Nobody comes and nothing ends; the waiting request must get the
// slot all the same, and not when the archive ends.
func TestSlotThatComesBackIsNotLeftIdle(t *testing.T) {
	b := newBench(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	b.admit(1, Request{Customer: "a", Long: true})
	shed := b.admit(1, Request{Customer: "a"})[0]
	b.q.Shed(b.now)
	b.release(shed)
	waiting := b.enqueue(1, Request{Customer: "a"})
	assert.Equal(t, len(b.q.Tick(b.now).Started), 0)
	b.now = b.now.Add(shedRecovery)
	started := b.q.Tick(b.now).Started
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].ID, waiting[0])
}

// An id that is already known is refused: releasing one of two would free a
// slot that the other still holds.
func TestKnownIDIsRefused(t *testing.T) {
	b := newBench(t, 2, halves())
	r := Request{ID: "same", Customer: "a", Deadline: start.Add(time.Minute)}
	first, _ := b.q.Offer(b.now, r)
	second, _ := b.q.Offer(b.now, r)
	assert.Equal(t, first.Verdict, Admitted)
	assert.Equal(t, second.Reason, ReasonDuplicate)
}

// A customer's caller claims a chain that comes back to the service three times.
// Slots kept for inner calls that never come would be taken from everybody; they
// are kept from that customer's own shallower calls alone.
func TestFalseChainCostsOnlyItsCustomer(t *testing.T) {
	b := newBench(t, 4, map[string]Share{"honest": {Guaranteed: 0.5, Limit: 1}, "false": {Guaranteed: 0.5, Limit: 1}})
	claim := b.admit(1, Request{Customer: "false", Depth: 3, Revisits: 3})
	b.release(claim[0])
	held := b.admit(4, Request{Customer: "honest"})
	b.enqueue(1, Request{Customer: "false"})
	for _, id := range held[:2] {
		assert.Equal(t, len(b.release(id)), 0, "two slots are kept from the customer that claimed them")
	}
	assert.Equal(t, len(b.release(held[2])), 1)
}
