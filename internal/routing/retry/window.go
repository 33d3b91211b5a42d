package retry

import "time"

// windowBuckets is the number of buckets in a window. It is even, so that half a window is
// a whole number of buckets.
const windowBuckets = 20

// historyBuckets is the number of buckets kept: those of the window that begins one window
// ago, of the window before that, and the current one.
const historyBuckets = 2*windowBuckets + 1

// DefaultWindow is the window length if the settings give none.
const DefaultWindow = 10 * time.Second

// Weights of the requests of three windows in the number of requests for which a window's
// retries are allowed. The fleet's budget counts whichever of the three has most requests
// over all nodes, which no node knows. Any weighted mean of the three is at most that, and
// the means of the nodes add up to the mean of the fleet, however requests are distributed
// among nodes and windows.
//
// The requests of a window itself allow retries while load begins and after a start of the
// process. Those before it allow a burst of retries when targets fail all at once.
const (
	sameWindowWeight   = 0.5
	halfBeforeWeight   = 0.25
	windowBeforeWeight = 0.25
)

// window counts the requests and retries of a service. Unlike a token bucket it keeps all
// counts of two windows, so that a limit holds in every window, wherever it begins.
type window struct {
	length time.Duration
	// started is the start of the process, or zero.
	started time.Time
	// origin is the first time seen. Buckets are numbered relative to it, since the
	// wall clock may be stepped, and a step would discard the recorded usage.
	origin time.Time
	// latest is the index of the latest bucket.
	latest  int64
	buckets [historyBuckets]bucket
}

// bucket holds the counts of one part of the window. Buckets are numbered from 1.
type bucket struct {
	index    int64
	requests int
	// retries is the number of retries plus, for each call, the probability that a
	// retried run made it.
	retries float64
}

func newWindow(length time.Duration, started time.Time) *window {
	return &window{length: length, started: started}
}

func (w *window) bucket(now time.Time) *bucket {
	if w.origin.IsZero() {
		w.origin = now
	}
	// A request is counted as of its arrival, but only once its body has been read, and so
	// after requests that arrived later.
	w.latest = max(w.latest, int64(now.Sub(w.origin)*windowBuckets/w.length)+1)
	b := &w.buckets[w.latest%historyBuckets]
	if b.index != w.latest {
		*b = bucket{index: w.latest}
	}
	return b
}

// history holds the counts of the kept buckets in the order of time; the last one is the
// current bucket. Buckets without requests and retries are zero.
type history [historyBuckets]bucket

func (w *window) history(now time.Time) *history {
	current := w.bucket(now).index
	var h history
	for _, b := range w.buckets {
		if age := current - b.index; b.index > 0 && age < historyBuckets {
			h[historyBuckets-1-age] = b
		}
	}
	return &h
}

// total returns the counts of the last window, in whole buckets.
func (w *window) total(now time.Time) bucket {
	h := w.history(now)
	var total bucket
	for _, b := range h[historyBuckets-windowBuckets:] {
		total.requests += b.requests
		total.retries += b.retries
	}
	return total
}

// remaining returns how many more retries the limits allow now. It is negative if there
// were too many in a window that includes now.
func (w *window) remaining(now time.Time, limits Limits) float64 {
	h := w.history(now)
	var requestsBefore [historyBuckets + 1]int
	for i, b := range h {
		requestsBefore[i+1] = requestsBefore[i] + b.requests
	}
	// between returns the requests of the buckets from first to before end.
	between := func(first, end int) float64 {
		first, end = max(first, 0), min(end, historyBuckets)
		return float64(requestsBefore[max(first, end)] - requestsBefore[first])
	}
	firstWithSlack := historyBuckets - w.completeSinceStart(now)
	remaining, retries := 0.0, 0.0
	for start := historyBuckets - 1; start >= historyBuckets-1-windowBuckets; start-- {
		// The window begins within the bucket at start, and includes now. Its retries include
		// all of that bucket. Requests count only in buckets that are completely inside a
		// window; those of the bucket at start are in this window or in the one before, so
		// the smaller weight holds for them.
		retries += h[start].retries
		requests := sameWindowWeight*between(start+1, historyBuckets) +
			halfBeforeWeight*between(start+1-windowBuckets/2, start+windowBuckets/2) +
			windowBeforeWeight*between(start+1-windowBuckets, start+1)
		allowed := limits.Ratio * requests
		if start >= firstWithSlack {
			allowed += limits.Slack
		}
		room := localFraction*allowed - retries
		if start == historyBuckets-1 || room < remaining {
			remaining = room
		}
	}
	return remaining
}

// completeSinceStart returns how many of the latest buckets lie completely after the start of
// the process, at most those in which a window that includes now may begin.
func (w *window) completeSinceStart(now time.Time) int {
	const most = windowBuckets + 1
	if w.started.IsZero() {
		return most
	}
	return int(min(now.Sub(w.started)*windowBuckets/w.length, most))
}
