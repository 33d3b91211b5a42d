package admission

import (
	"math/bits"
	"time"
)

// entry is a request that waits or runs. Entries are recycled, so that a
// decision allocates nothing once the queue has seen its usual load.
type entry struct {
	request  Request
	customer *customer
	running  bool
	started  time.Time
	arrival  uint64
	bucket   int
	prev     *entry
	next     *entry
}

// depthLevels and bucketCount give the order within one customer: by class,
// then deeper calls first, since they have used capacity already.
const (
	depthLevels = MaxDepth + 1
	bucketCount = MaxClasses * depthLevels
	wordBits    = 64
	bitmapWords = (bucketCount + wordBits - 1) / wordBits
)

// bucketOf returns the request's place in its customer's order, 0 first.
func bucketOf(r *Request) int {
	rank := min(max(r.Rank, 0), MaxClasses-1)
	depth := min(max(r.Depth, 0), MaxDepth)
	return rank*depthLevels + MaxDepth - depth
}

// bucket is a first-in, first-out list of waiting requests.
type bucket struct {
	head  *entry
	tail  *entry
	count int
}

// lane holds the waiting requests of one customer that are alike in length. A
// bitmap finds the first and the last bucket in use in constant time.
type lane struct {
	buckets [bucketCount]bucket
	used    [bitmapWords]uint64
	count   int
}

func (l *lane) push(e *entry) {
	b := &l.buckets[e.bucket]
	e.prev = b.tail
	e.next = nil
	if b.tail == nil {
		b.head = e
	} else {
		b.tail.next = e
	}
	b.tail = e
	b.count++
	l.count++
	l.used[e.bucket/wordBits] |= 1 << (e.bucket % wordBits)
}

func (l *lane) remove(e *entry) {
	b := &l.buckets[e.bucket]
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
	l.count--
	if b.count == 0 {
		l.used[e.bucket/wordBits] &^= 1 << (e.bucket % wordBits)
	}
}

// first returns the request to be served next, or nil.
func (l *lane) first() *entry {
	for i, word := range l.used {
		if word != 0 {
			return l.buckets[i*wordBits+bits.TrailingZeros64(word)].head
		}
	}
	return nil
}

// firstWhere returns the first request in order that the condition holds for, or
// nil. It may look at every one.
func (l *lane) firstWhere(condition func(*entry) bool) *entry {
	for i, word := range l.used {
		for ; word != 0; word &= word - 1 {
			for e := l.buckets[i*wordBits+bits.TrailingZeros64(word)].head; e != nil; e = e.next {
				if condition(e) {
					return e
				}
			}
		}
	}
	return nil
}

// firstDead returns a request at the head of a bucket that is past its deadline,
// or nil. Requests of one bucket mostly share a route, so the oldest dies first.
func (l *lane) firstDead(now time.Time) *entry {
	for i, word := range l.used {
		for ; word != 0; word &= word - 1 {
			head := l.buckets[i*wordBits+bits.TrailingZeros64(word)].head
			if !head.request.Deadline.After(now) {
				return head
			}
		}
	}
	return nil
}

// last returns the request that would be served after all others, or nil.
func (l *lane) last() *entry {
	for i := len(l.used) - 1; i >= 0; i-- {
		if word := l.used[i]; word != 0 {
			return l.buckets[i*wordBits+bits.Len64(word)-1].tail
		}
	}
	return nil
}

// ahead counts the requests that are served before a new one in the bucket.
func (l *lane) ahead(bucket int) int {
	count := 0
	for i := range bucket + 1 {
		count += l.buckets[i].count
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
