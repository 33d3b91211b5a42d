package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestTransfersAreOrderedByDeadline(t *testing.T) {
	var q TransferQueue
	for range MaxConcurrent {
		assert.Assert(t, q.Start(&Transfer{Deadline: start}))
	}
	late, early, canceled := &Transfer{Deadline: start.Add(2 * time.Second)}, &Transfer{Deadline: start.Add(time.Second)}, &Transfer{Deadline: start}
	for _, transfer := range []*Transfer{late, early, canceled} {
		assert.Assert(t, !q.Start(transfer))
	}
	assert.Assert(t, q.Cancel(canceled))
	assert.Equal(t, q.Finish(start, 1e6), early)
	assert.Assert(t, !q.Cancel(early), "it has been started")
	assert.Equal(t, q.Finish(start, 1e6), late)
	for range MaxConcurrent {
		assert.Assert(t, q.Finish(start, 1e6) == nil)
	}
	assert.Assert(t, q.Start(&Transfer{}))
}

// A response that can't arrive in time must not delay one that can, and the one that has
// missed its due time must not wait until its caller has given up, nor longer than maxDeferral
// behind those that are due after it.
func TestLateTransfersAreSentAfterThoseInTime(t *testing.T) {
	const rate = 1e6
	var q TransferQueue
	for range MaxConcurrent {
		q.Start(&Transfer{})
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	gone := &Transfer{Due: at(-500), Deadline: at(50), Size: 100e3}
	late := &Transfer{Due: at(50), Deadline: at(2000), Size: 100e3}
	slow := &Transfer{Due: at(500), Deadline: at(4000), Size: 100e3, Slow: true}
	timely := &Transfer{Due: at(1000), Deadline: at(4000), Size: 100e3}
	later := &Transfer{Due: at(1400), Deadline: at(5000), Size: 100e3}
	last := &Transfer{Due: at(2000), Deadline: at(5000), Size: 100e3}
	for _, transfer := range []*Transfer{gone, slow, last, later, late, timely} {
		assert.Assert(t, !q.Start(transfer))
	}
	for i, want := range []*Transfer{timely, late, later, slow, last, gone} {
		assert.Equal(t, q.Finish(start, rate), want, "%d", i)
	}
}

// No response may be lost or sent twice by the queue, no more than MaxConcurrent are sent at
// a time, and none that can't arrive before its deadline is sent before one that can.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1e6
		var q TransferQueue
		pending := map[*Transfer]bool{}
		sending, now := 0, start
		millis := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, name)) * time.Millisecond
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(millis("step") / 10)
			if sending > 0 && rapid.Bool().Draw(t, "finish") {
				next := q.Finish(now, rate)
				assert.Equal(t, next == nil, len(pending) == 0)
				if next == nil {
					sending--
					continue
				}
				assert.Assert(t, pending[next])
				delete(pending, next)
				if c, _ := next.position(now, rate); c == lost {
					for other := range pending {
						c, _ := other.position(now, rate)
						assert.Equal(t, c, lost)
					}
				}
				continue
			}
			transfer := &Transfer{Due: now.Add(millis("due")), Size: float64(rapid.IntRange(0, 500_000).Draw(t, "size"))}
			transfer.Deadline = transfer.Due.Add(millis("deadline"))
			q.Expect(transfer)
			if q.Start(transfer) {
				sending++
			} else {
				pending[transfer] = true
			}
			assert.Assert(t, sending <= MaxConcurrent)
			expected, waiting, _ := q.Counts()
			assert.Equal(t, expected, 0)
			assert.Equal(t, waiting, len(pending))
		}
		for transfer := range pending {
			assert.Assert(t, q.Cancel(transfer) && !q.Cancel(transfer))
		}
	})
}
