package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// fixture is a queue whose requests are numbered in the order of their arrival.
type fixture struct {
	t   *testing.T
	q   *Queue
	now time.Time
	n   int
}

func newFixture(t *testing.T, slots int, shares map[string]Share) *fixture {
	return &fixture{t: t, now: start, q: NewQueue(Terms{Slots: slots, Shares: shares, QueuePerSlot: 4}, 1)}
}

func (f *fixture) offer(r Request) (string, Decision, Changes) {
	f.n++
	r.ID = fmt.Sprintf("r%d", f.n)
	if r.Deadline.IsZero() {
		r.Deadline = f.now.Add(10 * time.Second)
	}
	decision, changes := f.q.Offer(f.now, r)
	return r.ID, decision, changes
}

func (f *fixture) admit(count int, r Request) []string {
	f.t.Helper()
	var ids []string
	for range count {
		id, decision, _ := f.offer(r)
		assert.Equal(f.t, decision.Verdict, Admitted, "%+v", decision)
		ids = append(ids, id)
	}
	return ids
}

func (f *fixture) enqueue(count int, r Request) []string {
	f.t.Helper()
	var ids []string
	for range count {
		id, decision, _ := f.offer(r)
		assert.Equal(f.t, decision.Verdict, Queued, "%+v", decision)
		ids = append(ids, id)
	}
	return ids
}

func (f *fixture) release(id string) []string {
	var started []string
	for _, r := range f.q.Release(f.now, id).Started {
		started = append(started, r.ID)
	}
	return started
}

func equalShares() map[string]Share {
	return map[string]Share{"a": {Guaranteed: 0.5, Limit: 1}, "b": {Guaranteed: 0.5, Limit: 1}}
}

// A customer that was idle sends requests while another has borrowed all its slots and
// has more requests waiting. The customer must get every slot that becomes free until it
// has its guarantee, though its requests came last.
func TestBorrowedSlotReturnsWithNextFreeSlot(t *testing.T) {
	f := newFixture(t, 4, equalShares())
	borrowed := f.admit(4, Request{Customer: "a"})
	f.enqueue(4, Request{Customer: "a"})
	waiting := f.enqueue(2, Request{Customer: "b"})
	assert.DeepEqual(t, f.release(borrowed[0]), waiting[:1])
	assert.DeepEqual(t, f.release(borrowed[1]), waiting[1:])
}

// Shares of 0.4, 0.35 and 0.25 of two slots are 0.8, 0.7 and 0.5 slots. Whole slots
// can't give all three customers their parts at the same time, so the slots must
// alternate between them: over time each customer gets its part and none starves.
func TestSharesUnderOneSlotAreKeptOverTime(t *testing.T) {
	shares := map[string]Share{"a": {Guaranteed: 0.4, Limit: 1}, "b": {Guaranteed: 0.35, Limit: 1}, "c": {Guaranteed: 0.25, Limit: 1}}
	f := newFixture(t, 2, shares)
	var running []Request
	served := map[string]int{}
	const rounds = 4000
	for range rounds {
		for _, customer := range []string{"a", "b", "c"} {
			if id, decision, _ := f.offer(Request{Customer: customer}); decision.Verdict == Admitted {
				running = append(running, Request{ID: id, Customer: customer})
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
		served[running[0].Customer]++
		running = append(running[1:], f.q.Release(f.now, running[0].ID).Started...)
	}
	for customer, share := range shares {
		part := float64(served[customer]) / rounds
		assert.Check(t, part > 0.99*share.Guaranteed, "%s got %.3f of the slots, %.2f are guaranteed", customer, part, share.Guaranteed)
	}
}

// One customer holds three slots for an hour, of which one and a half are its own, while
// nobody else needs them. Then another customer claims its part. From then on each must
// get its half of the shared slot: use of idle slots must not count against a customer
// later.
func TestUseOfIdleSlotsIsNotPenalized(t *testing.T) {
	f := newFixture(t, 3, equalShares())
	running := f.admit(3, Request{Customer: "a"})
	customer := map[string]string{}
	served := map[string]int{}
	turn := func() {
		f.now = f.now.Add(100 * time.Millisecond)
		started := f.release(running[0])
		running = append(running[1:], started...)
		served[customer[started[0]]]++
	}
	for range 36_000 {
		f.enqueue(1, Request{Customer: "a"})
		turn()
	}
	clear(served)
	for range 600 {
		for _, name := range []string{"a", "b"} {
			id, _, _ := f.offer(Request{Customer: name})
			customer[id] = name
		}
		turn()
	}
	assert.Check(t, served["a"] >= 290 && served["b"] >= 290, "%v", served)
}

// One customer sends twenty times as much as another and fills its own queue. The
// other's request must still be queued, since each customer's queue is bounded.
func TestOneCustomerCannotFillTheQueueForOthers(t *testing.T) {
	f := newFixture(t, 4, equalShares())
	f.admit(4, Request{Customer: "a"})
	f.enqueue(8, Request{Customer: "a"})
	_, refused, _ := f.offer(Request{Customer: "a"})
	assert.Equal(t, refused.Reason, ReasonQueueFull)
	f.enqueue(1, Request{Customer: "b"})
}

// A customer at its limit must wait although slots are free, and further requests must
// be refused because of the limit.
func TestLimitIsNeverExceeded(t *testing.T) {
	f := newFixture(t, 4, map[string]Share{"a": {Guaranteed: 0.25, Limit: 0.5}})
	first := f.admit(2, Request{Customer: "a"})
	waiting := f.enqueue(4, Request{Customer: "a"})
	_, refused, _ := f.offer(Request{Customer: "a"})
	assert.Equal(t, refused.Reason, ReasonLimit)
	assert.DeepEqual(t, f.release(first[0]), waiting[:1])
}

// Lookups of a contract fill the queue when an inspector of the same contract arrives.
// The last lookup must be dropped at once without having run, and the inspector is
// served next.
func TestEarlierClassDisplacesLaterClass(t *testing.T) {
	f := newFixture(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	running := f.admit(2, Request{Customer: "a", Rank: 1})
	lookups := f.enqueue(8, Request{Customer: "a", Rank: 1})
	inspector, decision, changes := f.offer(Request{Customer: "a", Rank: 0})
	assert.Equal(t, decision.Verdict, Queued)
	assert.Equal(t, len(changes.Dropped), 1)
	assert.Equal(t, changes.Dropped[0].Request.ID, lookups[7])
	assert.Equal(t, changes.Dropped[0].Reason, ReasonQueueFull)
	assert.Check(t, changes.Dropped[0].RetryAfter > 0)
	assert.DeepEqual(t, f.release(running[0]), []string{inspector})
}

// New chains and inner calls of older chains compete for one overloaded target. Inner
// calls must be served first, and when the queue is full, a new chain must be dropped:
// work has already been spent on the chains of inner calls.
func TestInnerCallsPrecedeNewChains(t *testing.T) {
	f := newFixture(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	running := f.admit(1, Request{Customer: "a"})
	edge := f.enqueue(4, Request{Customer: "a"})
	inner, decision, changes := f.offer(Request{Customer: "a", Depth: 5})
	assert.Equal(t, decision.Verdict, Queued)
	assert.Equal(t, changes.Dropped[0].Request.ID, edge[3])
	assert.DeepEqual(t, f.release(running[0]), []string{inner})
}

// Two outer calls hold both slots of a target, and each waits for an inner call that
// needs a slot of the same target. No request can run until an outer call ends at its
// deadline. Its slot must then go to an inner call, not to one of the new chains that
// were queued earlier, so that the deadlock ends.
func TestCycleEndsWhenAnOuterCallEnds(t *testing.T) {
	f := newFixture(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	outer := f.admit(2, Request{Customer: "a"})
	f.enqueue(3, Request{Customer: "a"})
	inner := f.enqueue(2, Request{Customer: "a", Depth: 1})
	f.now = f.now.Add(2 * time.Second)
	assert.DeepEqual(t, f.release(outer[0]), inner[:1])
}

// Chains return to a service of which they hold a slot. New chains must not take the
// last slot: if outer calls held all slots, no inner call could run and no request would
// end before its deadline. Once no such chains arrive anymore, no slot is reserved.
func TestCyclicChainGetsReservedSlot(t *testing.T) {
	f := newFixture(t, 3, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	outer := f.admit(1, Request{Customer: "a"})
	inner := f.admit(1, Request{Customer: "a", Depth: 1, Revisits: 1})
	f.release(inner[0])
	f.admit(1, Request{Customer: "a"})
	chain := f.enqueue(1, Request{Customer: "a", Deadline: f.now.Add(time.Minute)})
	inner = f.admit(1, Request{Customer: "a", Depth: 1, Revisits: 1})
	assert.Equal(t, len(f.release(inner[0])), 0, "the slot is reserved for the next inner call")
	f.now = f.now.Add(2 * revisitWindow)
	assert.DeepEqual(t, f.release(outer[0]), chain)
	f.admit(1, Request{Customer: "a"})
}

// Archives may borrow only a bounded part of the slots guaranteed to others, so that
// short requests of a customer that resumes get the rest at once. Slots that are
// guaranteed to nobody can be borrowed by archives without a bound.
func TestLongRequestsBorrowABoundedFraction(t *testing.T) {
	f := newFixture(t, 8, nil)
	f.q.Configure(f.now, Terms{Slots: 8, QueuePerSlot: 4, LongBorrowLimit: 0.25, Shares: map[string]Share{
		"a": {Guaranteed: 0.25, Limit: 1}, "b": {Guaranteed: 0.5, Limit: 1},
	}})
	f.admit(6, Request{Customer: "a", Long: true})
	f.enqueue(1, Request{Customer: "a", Long: true})
	f.admit(2, Request{Customer: "b"})
}

// A customer's own archives must leave slots for its short requests.
func TestLongLimitLeavesSlotsForShortRequests(t *testing.T) {
	f := newFixture(t, 4, map[string]Share{"a": {Guaranteed: 1, Limit: 1, LongLimit: 0.5}})
	f.admit(2, Request{Customer: "a", Long: true})
	f.enqueue(2, Request{Customer: "a", Long: true})
	f.admit(2, Request{Customer: "a", Rank: 1})
}

// The target loses half its slots while all are in use and more requests wait. Running
// requests must not be interrupted, no request may start until the excess has ended, and
// waiting requests must be neither lost nor duplicated.
func TestSlotReductionKeepsRunningRequests(t *testing.T) {
	f := newFixture(t, 4, equalShares())
	running := append(f.admit(2, Request{Customer: "a"}), f.admit(2, Request{Customer: "b"})...)
	waiting := append(f.enqueue(2, Request{Customer: "a"}), f.enqueue(2, Request{Customer: "b"})...)
	changes := f.q.Configure(f.now, Terms{Slots: 2, QueuePerSlot: 4, Shares: equalShares()})
	assert.Equal(t, len(changes.Started)+len(changes.Dropped), 0)
	assert.Equal(t, f.q.Running(), 4)
	assert.Equal(t, len(f.release(running[0])), 0)
	assert.Equal(t, len(f.release(running[2])), 0)
	started := append(f.release(running[1]), f.release(running[3])...)
	assert.DeepEqual(t, started, []string{waiting[0], waiting[2]})
	assert.Equal(t, f.q.Waiting(), 2)
}

// A new version withdraws a customer's grant while its requests wait and run. The
// waiting requests must be dropped at once as not run; running requests finish.
func TestWithdrawnGrantEndsWaitingRequests(t *testing.T) {
	f := newFixture(t, 2, equalShares())
	running := f.admit(2, Request{Customer: "a"})
	f.enqueue(2, Request{Customer: "a"})
	changes := f.q.Configure(f.now, Terms{Slots: 2, QueuePerSlot: 4, Shares: map[string]Share{"b": {Guaranteed: 1, Limit: 1}}})
	assert.Equal(t, len(changes.Dropped), 2)
	assert.Equal(t, changes.Dropped[0].Reason, ReasonNoGrant)
	assert.Equal(t, f.q.Running(), 2)
	other := f.enqueue(1, Request{Customer: "b"})
	assert.DeepEqual(t, f.release(running[0]), other)
	f.release(running[1])
	assert.Equal(t, len(f.q.customers), 1)
}

// The process is suspended for a minute with a full queue, and the callers of most
// waiting requests have disconnected by the time it resumes. None of these requests may
// start; the slot must go to the one request that is still within its deadline.
func TestResumedQueueStartsNoExpiredRequest(t *testing.T) {
	f := newFixture(t, 1, equalShares())
	id := f.admit(1, Request{Customer: "a"})[0]
	f.enqueue(4, Request{Customer: "a", Deadline: f.now.Add(2 * time.Second)})
	live := f.enqueue(1, Request{Customer: "b", Deadline: f.now.Add(2 * time.Minute)})
	f.now = f.now.Add(time.Minute)
	changes := f.q.Release(f.now, id)
	assert.Equal(t, len(changes.Started), 1)
	assert.Equal(t, changes.Started[0].ID, live[0])
	f.release(live[0])
	assert.Equal(t, f.q.Waiting(), 0)
}

// A queue full of expired requests must not cause a new request to be refused.
func TestExpiredRequestsDoNotFillTheQueue(t *testing.T) {
	f := newFixture(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	f.admit(1, Request{Customer: "a"})
	f.enqueue(4, Request{Customer: "a", Deadline: f.now.Add(time.Second)})
	f.now = f.now.Add(time.Minute)
	_, decision, changes := f.offer(Request{Customer: "a"})
	assert.Equal(t, decision.Verdict, Queued)
	assert.Equal(t, len(changes.Dropped), 4)
}

// Callers disconnect while their requests wait. Each request must be removed once, and
// the slot must go to a request that still waits.
func TestCanceledRequestsLeaveTheQueue(t *testing.T) {
	f := newFixture(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	id := f.admit(1, Request{Customer: "a"})[0]
	waiting := f.enqueue(3, Request{Customer: "a"})
	assert.Check(t, f.q.Cancel(waiting[0]))
	assert.Check(t, !f.q.Cancel(waiting[0]))
	assert.Check(t, !f.q.Cancel(id), "a running request is not in the queue")
	assert.DeepEqual(t, f.release(id), waiting[1:2])
}

// The target reports free slots but sheds, since it has lost half its capacity. The node
// must detect this from the sheds alone, stop sending more than the target accepts, and
// restore one slot for each second without a shed.
func TestShedsReduceSlotsTemporarily(t *testing.T) {
	f := newFixture(t, 4, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	ids := f.admit(4, Request{Customer: "a"})
	for _, id := range ids[2:] {
		f.q.RecordShed(f.now)
		f.release(id)
	}
	assert.Equal(t, f.q.Slots(), 2)
	waiting := f.enqueue(2, Request{Customer: "a"})
	f.now = f.now.Add(shedRecovery)
	assert.DeepEqual(t, f.release(ids[0]), waiting)
	f.now = f.now.Add(5 * shedRecovery)
	f.release(ids[1])
	assert.Equal(t, f.q.Slots(), 4)
}

// A target sheds while an archive runs and a short request waits, and recovers a second
// later. No request arrives or ends. The waiting request must still get the restored
// slot at once, not when the archive ends.
func TestRestoredSlotIsUsedAtOnce(t *testing.T) {
	f := newFixture(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	f.admit(1, Request{Customer: "a", Long: true})
	shed := f.admit(1, Request{Customer: "a"})[0]
	f.q.RecordShed(f.now)
	f.release(shed)
	waiting := f.enqueue(1, Request{Customer: "a"})
	assert.Equal(t, len(f.q.Tick(f.now).Started), 0)
	f.now = f.now.Add(shedRecovery)
	started := f.q.Tick(f.now).Started
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].ID, waiting[0])
}

// A request ID that is already known must be refused: releasing one of the two requests
// would free a slot that the other still holds.
func TestDuplicateIDIsRefused(t *testing.T) {
	f := newFixture(t, 2, equalShares())
	r := Request{ID: "same", Customer: "a", Deadline: start.Add(time.Minute)}
	first, _ := f.q.Offer(f.now, r)
	second, _ := f.q.Offer(f.now, r)
	assert.Equal(t, first.Verdict, Admitted)
	assert.Equal(t, second.Reason, ReasonDuplicate)
}

// A caller claims a chain that returns to the service three times, but its inner calls
// never come. Slots reserved for them must be withheld only from shallower calls of the
// same customer, not from other customers.
func TestFalseChainDelaysOnlyItsCustomer(t *testing.T) {
	f := newFixture(t, 4, map[string]Share{"honest": {Guaranteed: 0.5, Limit: 1}, "false": {Guaranteed: 0.5, Limit: 1}})
	claim := f.admit(1, Request{Customer: "false", Depth: 3, Revisits: 3})
	f.release(claim[0])
	held := f.admit(4, Request{Customer: "honest"})
	f.enqueue(1, Request{Customer: "false"})
	for _, id := range held[:2] {
		assert.Equal(t, len(f.release(id)), 0, "two slots are withheld from the customer that claimed the chain")
	}
	assert.Equal(t, len(f.release(held[2])), 1)
}
