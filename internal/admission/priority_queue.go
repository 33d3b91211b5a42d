package admission

import (
	"math/bits"
	"time"
)

// entry is a request that waits or runs. Entries are reused, so that decisions allocate
// nothing once the queue has reached its usual load.
type entry struct {
	request  Request
	customer *customer
	running  bool
	// slowdown is that of the target when the request started. As float32 beside running, it
	// doesn't enlarge the entry.
	slowdown float32
	started  time.Time
	arrival  uint64
	bucket   int
	prev     *entry
	next     *entry
}

// depthLevels and bucketCount define the order within one customer: by class, then
// deeper calls first, since work has already been spent on their chains.
const (
	depthLevels = MaxDepth + 1
	bucketCount = MaxClasses * depthLevels
	wordBits    = 64
	bitmapWords = (bucketCount + wordBits - 1) / wordBits
)

// bucketOf returns the bucket of a request in its customer's order, 0 first.
func bucketOf(r *Request) int {
	rank := min(max(r.Rank, 0), MaxClasses-1)
	depth := min(max(r.Depth, 0), MaxDepth)
	return rank*depthLevels + MaxDepth - depth
}

// bucket is a FIFO list of waiting requests.
type bucket struct {
	head  *entry
	tail  *entry
	count int
}

// priorityQueue holds either the long or the short waiting requests of one customer. A
// bitmap of the buckets in use finds the first and the last one in constant time.
type priorityQueue struct {
	buckets [bucketCount]bucket
	used    [bitmapWords]uint64
	count   int
}

func (q *priorityQueue) push(e *entry) {
	b := &q.buckets[e.bucket]
	e.prev = b.tail
	e.next = nil
	if b.tail == nil {
		b.head = e
	} else {
		b.tail.next = e
	}
	b.tail = e
	b.count++
	q.count++
	q.used[e.bucket/wordBits] |= 1 << (e.bucket % wordBits)
}

func (q *priorityQueue) remove(e *entry) {
	b := &q.buckets[e.bucket]
	if e.prev == nil {
		b.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		b.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev = nil
	e.next = nil
	b.count--
	q.count--
	if b.count == 0 {
		q.used[e.bucket/wordBits] &^= 1 << (e.bucket % wordBits)
	}
}

// first returns the request that is served next, or nil.
func (q *priorityQueue) first() *entry {
	for i, word := range q.used {
		if word != 0 {
			return q.buckets[i*wordBits+bits.TrailingZeros64(word)].head
		}
	}
	return nil
}

// firstWhere returns the first request, in order, for which the condition holds, or nil.
// It may visit every request.
func (q *priorityQueue) firstWhere(condition func(*entry) bool) *entry {
	for i, word := range q.used {
		for ; word != 0; word &= word - 1 {
			for e := q.buckets[i*wordBits+bits.TrailingZeros64(word)].head; e != nil; e = e.next {
				if condition(e) {
					return e
				}
			}
		}
	}
	return nil
}

// firstExpired returns a request at the head of a bucket that is past its deadline, or
// nil. Requests in one bucket mostly share a route, so the oldest one expires first.
func (q *priorityQueue) firstExpired(now time.Time) *entry {
	for i, word := range q.used {
		for ; word != 0; word &= word - 1 {
			head := q.buckets[i*wordBits+bits.TrailingZeros64(word)].head
			if !head.request.Deadline.After(now) {
				return head
			}
		}
	}
	return nil
}

// last returns the request that is served after all others, or nil.
func (q *priorityQueue) last() *entry {
	for i := len(q.used) - 1; i >= 0; i-- {
		if word := q.used[i]; word != 0 {
			return q.buckets[i*wordBits+bits.Len64(word)-1].tail
		}
	}
	return nil
}

// countAhead returns how many requests are served before a new one in the bucket.
func (q *priorityQueue) countAhead(bucket int) int {
	count := 0
	for i := range bucket + 1 {
		count += q.buckets[i].count
	}
	return count
}

// before reports whether a is served before b.
func before(a, b *entry) bool {
	if a.bucket != b.bucket {
		return a.bucket < b.bucket
	}
	return a.arrival < b.arrival
}
