// Package admission decides, at the node of one target, which requests run now,
// which wait and which are refused. The node counts its target's slots exactly,
// so a stale entry node costs a refusal and never an overload. The package is
// pure.
package admission

import (
	"time"
)

// Request is what admission knows of a request.
type Request struct {
	ID       string
	Customer string
	// Rank is the class's position in the contract, 0 served first.
	Rank int
	// Deadline is when the caller stops waiting for the first byte.
	Deadline time.Time
	// Long requests hold a slot for minutes.
	Long bool
}

// Verdict is what happened to an offered request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Reason says why a request was refused.
type Reason string

// The reasons for refusing; each promises that the request did not run.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue-full"
	ReasonDeadline  Reason = "deadline"
	ReasonLimit     Reason = "limit"
	ReasonNoGrant   Reason = "no-grant"
	ReasonDraining  Reason = "draining"
)

// Decision answers an offer.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Share is a customer's part of the target's slots, both 0 to 1.
type Share struct {
	Guaranteed float64
	Limit      float64
}

// Terms are what the contracts say of the target's service.
type Terms struct {
	Slots  int
	Shares map[string]Share
	// QueuePerSlot bounds the queue: Slots times this many may wait.
	QueuePerSlot int
}

// minRetryAfter is told when nothing has been measured yet.
const minRetryAfter = time.Second

// Queue is the admission state of one target. It is not safe for concurrent
// use.
type Queue struct {
	terms   Terms
	running map[string]Request
	held    map[string]int
	waiting []Request
}

// NewQueue returns an empty queue under the terms.
func NewQueue(terms Terms) *Queue {
	return &Queue{terms: terms, running: map[string]Request{}, held: map[string]int{}}
}

// Configure takes new terms and returns the waiting requests that may start
// under them. Running requests are never cut.
func (q *Queue) Configure(now time.Time, terms Terms) []Request {
	q.terms = terms
	return q.start(now)
}

// Running is the number of slots in use.
func (q *Queue) Running() int { return len(q.running) }

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer decides on a new request.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	if _, ok := q.terms.Shares[r.Customer]; !ok {
		return Decision{Verdict: Refused, Reason: ReasonNoGrant, RetryAfter: minRetryAfter}
	}
	if !r.Deadline.After(now) {
		return Decision{Verdict: Refused, Reason: ReasonDeadline, RetryAfter: minRetryAfter}
	}
	if len(q.running) < q.terms.Slots && q.underLimit(r.Customer) {
		q.admit(r)
		return Decision{Verdict: Admitted}
	}
	if len(q.waiting) >= q.terms.Slots*q.terms.QueuePerSlot {
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, RetryAfter: minRetryAfter}
	}
	q.waiting = append(q.waiting, r)
	return Decision{Verdict: Queued}
}

func (q *Queue) underLimit(customer string) bool {
	limit := q.terms.Shares[customer].Limit * float64(q.terms.Slots)
	return float64(q.held[customer]) < limit
}

func (q *Queue) admit(r Request) {
	q.running[r.ID] = r
	q.held[r.Customer]++
}

// Release gives back the slot of a request that ended and returns the waiting
// requests that start now.
func (q *Queue) Release(now time.Time, id string) []Request {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.held[r.Customer]--
	return q.start(now)
}

// Cancel takes a request out of the queue. It reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// start admits waiting requests in order while slots are free. A request past
// its deadline is left for its own timer to end, and never started.
func (q *Queue) start(now time.Time) []Request {
	var started []Request
	for i := 0; i < len(q.waiting) && len(q.running) < q.terms.Slots; {
		r := q.waiting[i]
		if !r.Deadline.After(now) || !q.underLimit(r.Customer) {
			i++
			continue
		}
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.admit(r)
		started = append(started, r)
	}
	return started
}
