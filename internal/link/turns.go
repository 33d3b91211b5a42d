package link

import (
	"slices"
	"time"
)

// AtOnce is how many large answers are sent at a time. If all were sent together,
// each would take as long as all; one alone can't fill the link on a long way, and
// would hold up all others while its reader is slow.
const MaxConcurrent = 2

// Turn is a large answer that is sent or waits to be.
type Transfer struct {
	// Due is when the answer must be with its caller to be in time.
	Deadline time.Time
}

// Turns orders the large answers that cross a VM's link: the one that is due
// first goes first. Targets take a tenth to three times the usual time for a
// request, and in the order in which answers are ready a quick one would be sent
// early and a slow one, with the least time left, after all of those: of answers
// that had 1,200 ms, one in five was late for that. Nothing is left to wait for
// ever: what is due long ago goes first. It is not safe for concurrent use.
type TransferQueue struct {
	sending int
	waiting []*Transfer
}

// Ask takes an answer in and reports whether it may be sent at once.
func (q *TransferQueue) Start(turn *Transfer) bool {
	if q.sending < MaxConcurrent {
		q.sending++
		return true
	}
	at, _ := slices.BinarySearchFunc(q.waiting, turn, func(waiting, new *Transfer) int {
		if waiting.Deadline.After(new.Deadline) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, turn)
	return false
}

// End takes note that an answer has been sent or given up, and returns the one
// to be sent next, or nil.
func (q *TransferQueue) Finish() *Transfer {
	if len(q.waiting) == 0 {
		q.sending--
		return nil
	}
	next := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return next
}

// Cancel takes a waiting answer out. It reports false for one whose turn came.
func (q *TransferQueue) Cancel(turn *Transfer) bool {
	at := slices.Index(q.waiting, turn)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}
