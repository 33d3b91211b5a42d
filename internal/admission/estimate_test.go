package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Requests at the target take 100 ms. A request that would wait longer than its caller
// does must be refused at once instead of being queued.
func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	id := f.admit(1, Request{Customer: "a"})[0]
	f.now = f.now.Add(100 * time.Millisecond)
	f.release(id)
	f.admit(1, Request{Customer: "a"})
	f.enqueue(2, Request{Customer: "a"})
	_, refused, _ := f.offer(Request{Customer: "a", Deadline: f.now.Add(250 * time.Millisecond)})
	assert.Equal(t, refused.Reason, ReasonDeadline)
	f.enqueue(1, Request{Customer: "a", Deadline: f.now.Add(350 * time.Millisecond)})
}

// A customer without a guarantee once had a request that took ten seconds. It holds no
// slot now, so no sample of its own would ever correct the mean. Other customers' hold
// times show that slots become free quickly, so it must not be refused forever.
func TestOutdatedMeanDoesNotBlockACustomer(t *testing.T) {
	f := newFixture(t, 2, map[string]Share{"a": {Limit: 1}, "b": {Guaranteed: 0.5, Limit: 1}})
	id := f.admit(1, Request{Customer: "a"})[0]
	f.now = f.now.Add(10 * time.Second)
	f.release(id)
	for range 200 {
		id := f.admit(1, Request{Customer: "b"})[0]
		f.now = f.now.Add(50 * time.Millisecond)
		f.release(id)
	}
	f.admit(2, Request{Customer: "b"})
	f.enqueue(1, Request{Customer: "a", Deadline: f.now.Add(2 * time.Second)})
}

// One request hangs for an hour among thousands that take 50 ms. Its hold time must not
// raise the estimate so far that requests are refused which would start in a moment.
func TestHungRequestDoesNotSkewEstimate(t *testing.T) {
	f := newFixture(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	hung := f.admit(1, Request{Customer: "a"})[0]
	id := f.admit(1, Request{Customer: "a"})[0]
	for range 72_000 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.release(id)
		id = f.admit(1, Request{Customer: "a"})[0]
	}
	f.release(hung)
	f.admit(1, Request{Customer: "a"})
	f.enqueue(4, Request{Customer: "a", Deadline: f.now.Add(time.Second)})
}

// A customer sends requests again while another has borrowed all twelve slots. It gets
// each slot that becomes free, no matter whose, so its sixth request starts after six of
// twelve requests have ended. It must not be refused as if only its own six slots
// counted.
func TestWaitEstimateCountsBorrowedSlots(t *testing.T) {
	f := newFixture(t, 12, equalShares())
	for range 50 {
		id := f.admit(1, Request{Customer: "a"})[0]
		f.now = f.now.Add(time.Second)
		f.release(id)
	}
	f.admit(12, Request{Customer: "a"})
	f.enqueue(6, Request{Customer: "b", Deadline: f.now.Add(700 * time.Millisecond)})
}

// A thousand callers are refused in the same millisecond. Their retry times must be
// spread at the rate at which slots become free, so that they don't all retry together.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	f := newFixture(t, 4, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	ids := f.admit(4, Request{Customer: "a"})
	f.now = f.now.Add(100 * time.Millisecond)
	f.release(ids[0])
	f.admit(1, Request{Customer: "a"})
	f.enqueue(16, Request{Customer: "a"})
	perSecond := map[int]int{}
	const callers = 1000
	for range callers {
		_, decision, _ := f.offer(Request{Customer: "a"})
		assert.Equal(t, decision.Verdict, Refused)
		assert.Check(t, decision.RetryAfter >= minRetryAfter)
		perSecond[int(decision.RetryAfter/time.Second)]++
	}
	for second, count := range perSecond {
		// Four slots of 100 ms become free 40 times a second.
		assert.Check(t, count < 80, "%d callers retry in second %d", count, second)
	}
}

// An entry node probes a full target a thousand times with NoWait requests and goes
// elsewhere each time. Probes must not reserve retry times: the first caller whose
// refusal is final still gets the next slot as its retry time, and a probe never joins
// the queue.
func TestProbesReserveNoRetryTime(t *testing.T) {
	f := newFixture(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	f.admit(1, Request{Customer: "a"})
	f.enqueue(4, Request{Customer: "a"})
	for range 1000 {
		_, probe, _ := f.offer(Request{Customer: "a", NoWait: true})
		assert.Equal(t, probe.Reason, ReasonBusy)
	}
	_, refused, _ := f.offer(Request{Customer: "a"})
	assert.Equal(t, refused.Reason, ReasonQueueFull)
	assert.Check(t, refused.RetryAfter < 2*defaultHold, "%s", refused.RetryAfter)
}

// The system restarts under ten times the load that it can serve, so the queue has
// measured nothing yet. The number of waiting requests must still be bounded, all other
// callers must be refused at once with a retry time, and each contract must get its part
// of the slots from the start.
func TestRestartUnderOverload(t *testing.T) {
	f := newFixture(t, 4, equalShares())
	refused := 0
	for range 100 {
		for _, customer := range []string{"a", "a", "a", "b"} {
			if _, decision, _ := f.offer(Request{Customer: customer}); decision.Verdict == Refused {
				assert.Check(t, decision.RetryAfter >= minRetryAfter)
				refused++
			}
		}
	}
	assert.Equal(t, f.q.Running()+f.q.Waiting(), 4+2*2*4)
	assert.Equal(t, refused, 400-f.q.Running()-f.q.Waiting())
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		f.now = f.now.Add(50 * time.Millisecond)
		f.release(id)
	}
	assert.Equal(t, f.q.customers["a"].held, 2)
	assert.Equal(t, f.q.customers["b"].held, 2)
}
