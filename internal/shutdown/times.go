package shutdown

import (
	"math"
	"time"
)

const (
	// highQuantile is the quantile of the observed times that a request is expected to take.
	highQuantile = 0.99
	// minObserved is the number of observations from which a quantile is known. The largest
	// of fewer is below the 0.9 quantile in more than one case in eight.
	minObserved = 20
	// minLongest is the number of observations from which the longest time is known. The
	// longest of fewer is below the 0.99 quantile in more than one case in three.
	minLongest = 100
	// windowObserved and windowTime are the minimum size and duration of a window. A window
	// of fewer observations can't tell the high quantile.
	windowObserved = 200
	windowTime     = 30 * time.Second
	// minTime is the upper bound of the first bucket; each following bound is bucketRatio
	// times the one before. The last bucket, from 110 s, has no bound.
	minTime     = time.Millisecond
	bucketRatio = 1.15
	numBuckets  = 85
)

// Times holds the observed times of requests by route, from acceptance to the last byte of
// the response. Its zero value is empty. It is not safe for concurrent use.
type Times struct {
	routes map[string]*route
}

// route holds the observations of the current window and of the one before it, so that
// between one and two windows are known.
type route struct {
	began             time.Time
	current, previous window
}

// window counts observations by bucket.
type window struct {
	total  uint32
	counts [numBuckets]uint32
}

// Observe records how long a request took.
func (t *Times) Observe(now time.Time, name string, took time.Duration) {
	r := t.routes[name]
	if r == nil {
		if t.routes == nil {
			t.routes = map[string]*route{}
		}
		r = &route{began: now}
		t.routes[name] = r
	}
	if r.current.total >= windowObserved && now.Sub(r.began) >= windowTime {
		r.previous, r.current, r.began = r.current, window{}, now
	}
	r.current.counts[bucketOf(took)]++
	r.current.total++
}

// High returns the 0.99 quantile of a route's times, rounded up to the bound of its bucket, and
// the number of times from which it is known.
func (t *Times) High(name string) (high time.Duration, observed int) {
	r := t.routes[name]
	if r == nil {
		return 0, 0
	}
	return r.exceededBy(uint32((1 - highQuantile) * float64(r.total()))), int(r.total())
}

// longest is High for the longest of a route's times.
func (t *Times) longest(name string) (longest time.Duration, observed int) {
	r := t.routes[name]
	if r == nil {
		return 0, 0
	}
	return r.exceededBy(0), int(r.total())
}

func (r *route) total() uint32 { return r.current.total + r.previous.total }

// exceededBy returns the bound of the lowest bucket above which at most beyond times are.
func (r *route) exceededBy(beyond uint32) time.Duration {
	for bucket := numBuckets - 1; bucket >= 0; bucket-- {
		count := r.current.counts[bucket] + r.previous.counts[bucket]
		if count > beyond {
			return boundOf(bucket)
		}
		beyond -= count
	}
	return 0
}

// Retain drops the routes for which keep returns false.
func (t *Times) Retain(keep func(route string) bool) {
	for name := range t.routes {
		if !keep(name) {
			delete(t.routes, name)
		}
	}
}

func bucketOf(took time.Duration) int {
	if took <= minTime {
		return 0
	}
	bucket := int(math.Ceil(math.Log(float64(took)/float64(minTime)) / math.Log(bucketRatio)))
	return min(bucket, numBuckets-1)
}

// boundOf returns the longest time of a bucket.
func boundOf(bucket int) time.Duration {
	if bucket == numBuckets-1 {
		return math.MaxInt64
	}
	return time.Duration(float64(minTime) * math.Pow(bucketRatio, float64(bucket)))
}
