package retry

import "time"

// windowBuckets is the number of buckets in a window.
const windowBuckets = 10

// DefaultWindow is the window length if the settings give none.
const DefaultWindow = 10 * time.Second

// window is a sliding-window counter of the requests and retries of a service.
// Unlike a token bucket it keeps all counts within the window, so a limit holds for
// every interval of that length, wherever the interval begins.
type window struct {
	length time.Duration
	// origin is the first time seen. Buckets are numbered relative to it, since the
	// wall clock may be stepped, and a step would discard the recorded usage.
	origin  time.Time
	buckets [windowBuckets + 1]bucket
}

// bucket holds the counts of one part of the window. Buckets are numbered from 1.
type bucket struct {
	index    int64
	requests int
	// retries is the number of retries plus, for each call, the probability that a
	// retried run made it.
	retries float64
}

func newWindow(length time.Duration) *window { return &window{length: length} }

func (w *window) bucket(now time.Time) *bucket {
	if w.origin.IsZero() {
		w.origin = now
	}
	index := int64(now.Sub(w.origin)*windowBuckets/w.length) + 1
	b := &w.buckets[index%int64(len(w.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

// sum returns the total of the window. The oldest bucket is only partly within the
// window, so its retries count against the budget, but its requests don't add to it.
func (w *window) sum(now time.Time) bucket {
	current := w.bucket(now)
	var total bucket
	for i := range w.buckets {
		b := &w.buckets[i]
		age := current.index - b.index
		if b.index == 0 || age > windowBuckets {
			continue
		}
		total.retries += b.retries
		if age < windowBuckets {
			total.requests += b.requests
		}
	}
	return total
}
