package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLoadedQueue returns a queue with all slots held and the given number of requests
// waiting.
func newLoadedQueue(slots, customers, waiting int) (*Queue, []Request) {
	terms := Terms{Slots: slots, Shares: map[string]Share{}, QueuePerSlot: 1 + 2*waiting/slots}
	names := make([]string, customers)
	for i := range customers {
		names[i] = fmt.Sprintf("customer-%d", i)
		terms.Shares[names[i]] = Share{Guaranteed: 1 / float64(customers), Limit: 1}
	}
	q := NewQueue(terms, 1)
	requests := make([]Request, slots+waiting)
	for i := range requests {
		requests[i] = Request{ID: fmt.Sprintf("r%d", i), Customer: names[i%customers], Deadline: start.Add(time.Hour)}
		q.Offer(start, requests[i])
	}
	return q, requests
}

// replaceRequest ends the oldest request, which starts another, and offers it again.
func replaceRequest(q *Queue, running []Request, n int) {
	slot := n % len(running)
	ended := running[slot]
	now := start.Add(time.Duration(n) * time.Microsecond)
	changes := q.Release(now, ended.ID)
	running[slot] = changes.Started[0]
	q.Offer(now, ended)
}

// Guards against allocations on the path of an admitted request, waiting or not: at
// 430,000 calls a second the garbage would cost more than the decisions.
func TestAdmittedPathAllocatesNothing(t *testing.T) {
	for _, waiting := range []int{0, 64} {
		q, requests := newLoadedQueue(12, 6, waiting)
		if waiting == 0 {
			i := 0
			assert.Equal(t, testing.AllocsPerRun(10_000, func() {
				r := requests[i%len(requests)]
				q.Release(start, r.ID)
				q.Offer(start, r)
				i++
			}), 0.0)
			continue
		}
		i := 0
		assert.Equal(t, testing.AllocsPerRun(10_000, func() { replaceRequest(q, requests[:12], i); i++ }), 0.0)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ slots, customers, waiting int }{
		{12, 3, 12}, {18, 3, 72}, {12, 30, 120}, {18, 300, 1200}, {18, 300, 12000},
	} {
		b.Run(fmt.Sprintf("slots=%d/customers=%d/waiting=%d", size.slots, size.customers, size.waiting), func(b *testing.B) {
			q, requests := newLoadedQueue(size.slots, size.customers, size.waiting)
			if q.Waiting() < size.waiting {
				b.Fatalf("%d requests wait", q.Waiting())
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				replaceRequest(q, requests[:size.slots], i)
				i++
			}
		})
	}
}

// BenchmarkMemory measures the memory per customer and per waiting request for
// docs/CAPACITY.md.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ customers, waiting int }{{3, 0}, {300, 0}, {300, 12000}} {
		b.Run(fmt.Sprintf("customers=%d/waiting=%d", size.customers, size.waiting), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newLoadedQueue(18, size.customers, size.waiting)
			}
		})
	}
}
