package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The target has shown that it takes 100 ms a request. A request that would
// have to wait longer than its caller does is refused at once and not held.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	id := b.admit(1, Request{Customer: "a"})[0]
	b.now = b.now.Add(100 * time.Millisecond)
	b.release(id)
	b.admit(1, Request{Customer: "a"})
	b.enqueue(2, Request{Customer: "a"})
	_, hopeless, _ := b.offer(Request{Customer: "a", Deadline: b.now.Add(250 * time.Millisecond)})
	assert.Equal(t, hopeless.Reason, ReasonDeadline)
	b.enqueue(1, Request{Customer: "a", Deadline: b.now.Add(350 * time.Millisecond)})
}

// A customer without a guarantee once had a request that took ten seconds. It
// holds nothing now, so nothing of its own would ever correct that figure; the
// holds of others tell that slots free up quickly, and it must not be refused
// for ever.
func TestOldMeasurementDoesNotShutACustomerOut(t *testing.T) {
	b := newBench(t, 2, map[string]Share{"a": {Limit: 1}, "b": {Guaranteed: 0.5, Limit: 1}})
	id := b.admit(1, Request{Customer: "a"})[0]
	b.now = b.now.Add(10 * time.Second)
	b.release(id)
	for range 200 {
		id := b.admit(1, Request{Customer: "b"})[0]
		b.now = b.now.Add(50 * time.Millisecond)
		b.release(id)
	}
	b.admit(2, Request{Customer: "b"})
	b.enqueue(1, Request{Customer: "a", Deadline: b.now.Add(2 * time.Second)})
}

// One request hangs for an hour among thousands that take 50 ms. The estimate
// must not turn away requests that would start in a moment.
func TestOneHungRequestDoesNotSpoilTheEstimate(t *testing.T) {
	b := newBench(t, 2, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	hung := b.admit(1, Request{Customer: "a"})[0]
	id := b.admit(1, Request{Customer: "a"})[0]
	for range 72_000 {
		b.now = b.now.Add(50 * time.Millisecond)
		b.release(id)
		id = b.admit(1, Request{Customer: "a"})[0]
	}
	b.release(hung)
	b.admit(1, Request{Customer: "a"})
	b.enqueue(4, Request{Customer: "a", Deadline: b.now.Add(time.Second)})
}

// A customer comes back while another has borrowed all twelve slots. It is given
// each slot that falls free, by whomever, so its sixth request starts after six
// of twelve ends and need not be refused as if only its own six slots counted.
func TestReturningCustomerIsJudgedByAllSlots(t *testing.T) {
	b := newBench(t, 12, halves())
	for range 50 {
		id := b.admit(1, Request{Customer: "a"})[0]
		b.now = b.now.Add(time.Second)
		b.release(id)
	}
	b.admit(12, Request{Customer: "a"})
	b.enqueue(6, Request{Customer: "b", Deadline: b.now.Add(700 * time.Millisecond)})
}

// A thousand callers are refused in the same millisecond. The times they are
// told lie apart, at the pace at which slots free up, so that they do not come
// back together.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	b := newBench(t, 4, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	ids := b.admit(4, Request{Customer: "a"})
	b.now = b.now.Add(100 * time.Millisecond)
	b.release(ids[0])
	b.admit(1, Request{Customer: "a"})
	b.enqueue(16, Request{Customer: "a"})
	perSecond := map[int]int{}
	const callers = 1000
	for range callers {
		_, decision, _ := b.offer(Request{Customer: "a"})
		assert.Equal(t, decision.Verdict, Refused)
		assert.Check(t, decision.RetryAfter >= minRetryAfter)
		perSecond[int(decision.RetryAfter/time.Second)]++
	}
	for second, count := range perSecond {
		// Four slots of 100 ms free up 40 times a second.
		assert.Check(t, count < 80, "%d callers return in second %d", count, second)
	}
}

// An entry probes a full target a thousand times and goes elsewhere each time.
// The probes book no return: the first caller that is really refused is told to
// come back with the next slot, and a probe never joins the queue.
func TestProbesBookNoReturn(t *testing.T) {
	b := newBench(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
	b.admit(1, Request{Customer: "a"})
	b.enqueue(4, Request{Customer: "a"})
	for range 1000 {
		_, probe, _ := b.offer(Request{Customer: "a", NoWait: true})
		assert.Equal(t, probe.Reason, ReasonBusy)
	}
	_, refused, _ := b.offer(Request{Customer: "a"})
	assert.Equal(t, refused.Reason, ReasonQueueFull)
	assert.Check(t, refused.RetryAfter < 2*unknownHold, "%s", refused.RetryAfter)
}

// The system restarts under ten times its load: the queue has measured nothing
// yet. What waits is bounded all the same, everyone else is told at once when
// to come back, and each contract has its part of the slots from the start.
func TestRestartUnderOverload(t *testing.T) {
	b := newBench(t, 4, halves())
	refused := 0
	for range 100 {
		for _, customer := range []string{"a", "a", "a", "b"} {
			if _, decision, _ := b.offer(Request{Customer: customer}); decision.Verdict == Refused {
				assert.Check(t, decision.RetryAfter >= minRetryAfter)
				refused++
			}
		}
	}
	assert.Equal(t, b.q.Running()+b.q.Waiting(), 4+2*2*4)
	assert.Equal(t, refused, 400-b.q.Running()-b.q.Waiting())
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		b.now = b.now.Add(50 * time.Millisecond)
		b.release(id)
	}
	assert.Equal(t, b.q.customers["a"].held, 2)
	assert.Equal(t, b.q.customers["b"].held, 2)
}
