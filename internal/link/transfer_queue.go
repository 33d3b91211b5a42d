package link

import (
	"slices"
	"time"
)

// MaxConcurrent is the number of large responses sent concurrently. If all were sent at
// once, each would take as long as all together. A single one can't fill a link with a
// long round trip, and would delay all others if its reader is slow.
const MaxConcurrent = 2

// Transfer is a large response that is being sent or waits to be sent.
type Transfer struct {
	// Deadline is when the caller must have received the response.
	Deadline time.Time
}

// TransferQueue orders the large responses that cross a VM's link by deadline, earliest
// first. Targets take a tenth to three times the usual time for a request. In the order
// in which responses become ready, a quick one would be sent early, and a slow one,
// which has the least time left, after all others; in that order one in five responses
// with a deadline of 1,200 ms was late. No response waits forever, since the oldest
// deadlines come first. It is not safe for concurrent use.
type TransferQueue struct {
	sending int
	waiting []*Transfer
}

// Start adds a response and reports whether it may be sent at once.
func (q *TransferQueue) Start(transfer *Transfer) bool {
	if q.sending < MaxConcurrent {
		q.sending++
		return true
	}
	position, _ := slices.BinarySearchFunc(q.waiting, transfer, func(waiting, new *Transfer) int {
		if waiting.Deadline.After(new.Deadline) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, position, transfer)
	return false
}

// Finish records that a response was sent or abandoned, and returns the next one to
// send, or nil.
func (q *TransferQueue) Finish() *Transfer {
	if len(q.waiting) == 0 {
		q.sending--
		return nil
	}
	next := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return next
}

// Cancel removes a waiting response. It returns false if the response is no longer
// waiting.
func (q *TransferQueue) Cancel(transfer *Transfer) bool {
	position := slices.Index(q.waiting, transfer)
	if position < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, position, position+1)
	return true
}
