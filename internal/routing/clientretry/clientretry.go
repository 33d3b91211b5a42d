// Package clientretry recognises a request that its caller sends once more after
// it was refused or failed. It answers the load of an overload of some seconds,
// in which refused callers come back beside new ones: an answer is wanted within
// a time from the caller's first attempt, so most that come back can't be in time
// any more. Taken for new ones, they took the slots of those that still could.
// The package is pure: time is handed in.
package clientretry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request identifies what a caller asks for.
type Request struct {
	Method, Host, URI string
	// Ends is when the caller stops waiting. It is the same moment in each of its
	// attempts, whatever their ids.
	Deadline time.Time
}

const (
	// sameEnd is by how much the ends of two attempts of one caller may differ:
	// each is counted from when the message arrives, which a busy node notices
	// late. Another caller of the same resource whose end is as close began at
	// about the same moment, so that taking it for this one does little harm.
	sameEnd = 50 * time.Millisecond
	// mostRemembered bounds the memory to some hundred kilobytes. Older attempts
	// are forgotten first, whose callers are then taken for new ones.
	mostRemembered = 4096
)

// Memory holds the failed attempts of callers that may come back. It is not safe
// for concurrent use.
type Tracker struct {
	failed map[uint64][]attempt
	// order lists what was remembered, oldest first.
	order []remembered
}

// attempt is one that failed, of a caller that began at first.
type attempt struct{ first, ends time.Time }

type remembered struct {
	key  uint64
	ends time.Time
}

// NewMemory returns an empty memory.
func NewTracker() *Tracker { return &Tracker{failed: map[uint64][]attempt{}} }

func (r *Request) key() uint64 {
	return xxhash.Sum64String(r.Method + " " + r.Host + " " + r.URI)
}

// First returns when the caller of a request that arrives now made its first
// attempt: now, unless an attempt of it is remembered, which is then forgotten.
func (m *Tracker) FirstAttempt(now time.Time, r *Request) time.Time {
	key := r.key()
	for i, a := range m.failed[key] {
		if a.ends.Sub(r.Deadline).Abs() <= sameEnd {
			m.remove(key, i)
			return a.first
		}
	}
	return now
}

// Failed remembers an attempt that didn't get what it asked for, of a caller that
// began at first. One that has stopped waiting doesn't come back.
func (m *Tracker) RecordFailure(now time.Time, r *Request, first time.Time) {
	m.forget(now)
	if !r.Deadline.After(now) {
		return
	}
	key := r.key()
	m.failed[key] = append(m.failed[key], attempt{first: first, ends: r.Deadline})
	m.order = append(m.order, remembered{key: key, ends: r.Deadline})
}

// forget drops attempts whose callers have stopped waiting, and the oldest beyond
// mostRemembered.
func (m *Tracker) forget(now time.Time) {
	for len(m.order) > 0 && (len(m.order) >= mostRemembered || !m.order[0].ends.After(now)) {
		oldest := m.order[0]
		m.order = m.order[1:]
		for i, a := range m.failed[oldest.key] {
			if a.ends.Equal(oldest.ends) {
				m.remove(oldest.key, i)
				break
			}
		}
	}
}

func (m *Tracker) remove(key uint64, i int) {
	kept := append(m.failed[key][:i], m.failed[key][i+1:]...)
	if len(kept) == 0 {
		delete(m.failed, key)
		return
	}
	m.failed[key] = kept
}
