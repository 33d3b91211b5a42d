package link

import (
	"slices"
	"time"
)

// MaxConcurrent is the number of large responses sent concurrently. If all were sent at
// once, each would take as long as all together. A single one can't fill a link with a
// long round trip, and would delay all others if its reader is slow.
const MaxConcurrent = 2

// Transfer is a large response that the target still works on, that waits to be sent, or
// that is being sent.
type Transfer struct {
	// Due is when the caller needs the response; if zero, at the deadline.
	Due time.Time
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Size is the number of bytes still to be sent. It is an estimate until the response is
	// ready.
	Size float64
	// Slow is set once the receiver has stopped reading for a while. The response is then
	// ordered like one that misses its due time.
	Slow bool
}

// class groups transfers by what they can still achieve; lower classes are sent first.
type class int

const (
	// inTime can arrive before the caller needs it, or at least before the caller stops
	// waiting.
	inTime class = iota
	// lost can't arrive before the caller stops waiting. It is sent nevertheless, because
	// the estimate may be wrong.
	lost
)

// lateShare is the part of the time between the due time and the deadline for which a late
// response may wait behind others. With the whole time, late responses also missed their
// deadlines at a full link; with half of it, more of the others were late.
const lateShare = 0.75

// maxDeferral bounds that time. A response that waited for several seconds was cut off when
// its receiver's node was stopped meanwhile, since a stop waits for some seconds only.
const maxDeferral = time.Second

// position returns the class of a transfer that would be sent alone from now on at the given
// rate in bytes per second, and the time by which it is ordered within its class: the time
// at which the caller needs it or, if it can't arrive by then, a time nearer to its deadline.
func (t *Transfer) position(now time.Time, rate float64) (class, time.Time) {
	arrival := now.Add(transferTime(t.Size, rate))
	switch {
	case !t.Slow && !t.Due.IsZero() && !arrival.After(t.Due):
		return inTime, t.Due
	case !arrival.After(t.Deadline) && t.Due.Before(t.Deadline) && !t.Due.IsZero():
		return inTime, t.Due.Add(min(maxDeferral, time.Duration(lateShare*float64(t.Deadline.Sub(t.Due)))))
	case !arrival.After(t.Deadline):
		return inTime, t.Deadline
	}
	return lost, t.Deadline
}

// transferTime returns how long bytes take at a rate in bytes per second.
func transferTime(bytes, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(bytes / rate * float64(time.Second))
}

// TransferQueue orders the large responses that cross a VM's link: the one that is due
// first is sent first, and those that can no longer be in time are sent after those that
// can. Targets take a tenth to three times the usual time for a request. In the order in
// which responses become ready, a quick one would be sent early, and a slow one, which has
// the least time left, after all others; in that order one in five responses with a
// deadline of 1,200 ms was late. A response that misses its due time gets a later one, so
// none waits forever. It is not safe for concurrent use.
type TransferQueue struct {
	sending int
	// waiting holds the responses that are ready, expected those that the target still
	// works on.
	waiting, expected []*Transfer
}

// Expect adds a response that the target works on. Start or Cancel must follow.
func (q *TransferQueue) Expect(transfer *Transfer) { q.expected = append(q.expected, transfer) }

// Start adds a response that is ready and reports whether it may be sent at once.
func (q *TransferQueue) Start(transfer *Transfer) bool {
	q.expected = remove(q.expected, transfer)
	if q.sending < MaxConcurrent {
		q.sending++
		return true
	}
	q.waiting = append(q.waiting, transfer)
	return false
}

// Finish records that a response is no longer being sent, and returns the next one to send,
// or nil. The rate is that of the link in bytes per second.
func (q *TransferQueue) Finish(now time.Time, rate float64) *Transfer {
	if len(q.waiting) == 0 {
		q.sending--
		return nil
	}
	next := slices.MinFunc(q.waiting, func(a, b *Transfer) int {
		classA, timeA := a.position(now, rate)
		classB, timeB := b.position(now, rate)
		if classA != classB {
			return int(classA - classB)
		}
		return timeA.Compare(timeB)
	})
	q.waiting = remove(q.waiting, next)
	return next
}

// Cancel removes a response that waits or that the target works on. It returns false if the
// response is neither.
func (q *TransferQueue) Cancel(transfer *Transfer) bool {
	before := len(q.waiting) + len(q.expected)
	q.waiting, q.expected = remove(q.waiting, transfer), remove(q.expected, transfer)
	return len(q.waiting)+len(q.expected) < before
}

// Counts returns the number of large responses that the target works on, that are ready and
// wait, and that are being sent.
func (q *TransferQueue) Counts() (expected, waiting, sending int) {
	return len(q.expected), len(q.waiting), q.sending
}

// bytesBehind returns the bytes of the responses that would be sent after one of the class
// inTime that is due at the given time.
func (q *TransferQueue) bytesBehind(now, due time.Time, rate float64) float64 {
	bytes := 0.0
	for _, transfers := range [][]*Transfer{q.waiting, q.expected} {
		for _, transfer := range transfers {
			if c, at := transfer.position(now, rate); c == lost || at.After(due) {
				bytes += transfer.Size
			}
		}
	}
	return bytes
}

// remove removes a transfer and keeps the order of the others.
func remove(transfers []*Transfer, transfer *Transfer) []*Transfer {
	position := slices.Index(transfers, transfer)
	if position < 0 {
		return transfers
	}
	return slices.Delete(transfers, position, position+1)
}
