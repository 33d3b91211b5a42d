// Package clientretry recognises retries by callers whose request was refused or
// failed. During an overload of some seconds, refused callers retry while new
// requests arrive. A response is due within a time from the caller's first attempt,
// so most retries can no longer be served in time. If they were treated as new
// requests, they would take the slots of requests that can still be served in time.
// The package is pure: callers pass in the time.
package clientretry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request identifies a caller's request.
type Request struct {
	Method, Host, URI string
	// Deadline is the time at which the caller stops waiting. It is the same for
	// all attempts of a request, although their ids differ.
	Deadline time.Time
}

const (
	// deadlineTolerance is the maximum difference between the deadlines of two
	// attempts of one caller. Each deadline is computed from the arrival of the
	// message, which a busy node notices late. Another caller of the same resource
	// with a deadline this close began at about the same time, so confusing the
	// two does little harm.
	deadlineTolerance = 50 * time.Millisecond
	// maxTracked limits the tracker to some hundred kilobytes. The oldest attempts
	// are evicted first; their callers are then treated as new.
	maxTracked = 4096
)

// Tracker tracks the failed attempts of callers that may retry. It is not safe for
// concurrent use.
type Tracker struct {
	failed map[uint64][]attempt
	// order lists the tracked attempts, oldest first.
	order []trackedAttempt
}

// attempt is a failed attempt of a caller whose first attempt was at first.
type attempt struct{ first, deadline time.Time }

type trackedAttempt struct {
	key      uint64
	deadline time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{failed: map[uint64][]attempt{}} }

func (r *Request) key() uint64 {
	return xxhash.Sum64String(r.Method + " " + r.Host + " " + r.URI)
}

// FirstAttempt returns the time of the first attempt of the caller whose request
// arrives now. It is now, unless an earlier attempt is tracked, which is then
// removed.
func (t *Tracker) FirstAttempt(now time.Time, r *Request) time.Time {
	key := r.key()
	for i, a := range t.failed[key] {
		if a.deadline.Sub(r.Deadline).Abs() <= deadlineTolerance {
			t.remove(key, i)
			return a.first
		}
	}
	return now
}

// RecordFailure tracks a failed attempt of a caller whose first attempt was at
// first. A caller that has stopped waiting is not tracked, since it won't retry.
func (t *Tracker) RecordFailure(now time.Time, r *Request, first time.Time) {
	t.evict(now)
	if !r.Deadline.After(now) {
		return
	}
	key := r.key()
	t.failed[key] = append(t.failed[key], attempt{first: first, deadline: r.Deadline})
	t.order = append(t.order, trackedAttempt{key: key, deadline: r.Deadline})
}

// evict removes attempts whose callers have stopped waiting, and the oldest ones
// so that fewer than maxTracked are left.
func (t *Tracker) evict(now time.Time) {
	for len(t.order) > 0 && (len(t.order) >= maxTracked || !t.order[0].deadline.After(now)) {
		oldest := t.order[0]
		t.order = t.order[1:]
		for i, a := range t.failed[oldest.key] {
			if a.deadline.Equal(oldest.deadline) {
				t.remove(oldest.key, i)
				break
			}
		}
	}
}

func (t *Tracker) remove(key uint64, i int) {
	kept := append(t.failed[key][:i], t.failed[key][i+1:]...)
	if len(kept) == 0 {
		delete(t.failed, key)
		return
	}
	t.failed[key] = kept
}
