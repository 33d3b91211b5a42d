// Package admission decides, at the node of one target, which requests run now,
// which wait and which are refused. The node counts its target's slots exactly,
// so a stale entry node costs a refusal and never an overload.
//
// Each customer is guaranteed a share of the slots. Slots that it doesn't use
// are lent at once, and a lent slot comes back with the next slot that falls
// free. docs/design/admission.md says which ways were weighed.
//
// The package is pure: time is handed in, and random numbers come from a seed.
package admission

import "time"

// MaxClasses is how many classes one contract may order. Ranks past it count as
// the last class.
const MaxClasses = 8

// MaxDepth is the depth of the innermost call of the longest call chain.
// Depths past it count as MaxDepth.
const MaxDepth = 9

// Request is what admission knows of a request.
type Request struct {
	// ID is unique among the requests that wait or run at the target.
	ID       string
	Customer string
	// Rank is the class's position in the contract, 0 served first.
	Rank int
	// Depth is how many calls of the same chain are open above this one; 0 is
	// a caller's own request.
	Depth int
	// Revisits is how many of those open calls hold a slot of this same
	// service; above 0 the chain is a cycle.
	Revisits int
	// Deadline is when the caller stops waiting for the first byte.
	Deadline time.Time
	// Long requests hold a slot for minutes.
	Long bool
	// NoWait requests are refused with ReasonBusy where they would have to
	// wait, so that the entry node can try another target first.
	NoWait bool
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
	ReasonBusy      Reason = "busy"
	ReasonDuplicate Reason = "duplicate-call"
)

// Decision answers an offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

// Drop is a waiting request that ended without running.
type Drop struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Changes are what an event did to requests, in order. The slices belong to
// the queue and are overwritten by its next event.
type Changes struct {
	Started []Request
	Dropped []Drop
}

// Share is a customer's part of the target's slots; all are 0 to 1.
type Share struct {
	Guaranteed float64
	// Limit bounds what the customer holds, guaranteed and borrowed together.
	Limit float64
	// Long bounds what the customer's long requests hold; 0 means Limit.
	LongLimit float64
}

// Terms are what the contracts say of the target's service.
type Terms struct {
	Slots  int
	Shares map[string]Share
	// QueuePerSlot bounds each customer's queue: this many may wait for each
	// guaranteed slot, and for one slot at least.
	QueuePerSlot int
	// LongLent is the part of the slots, out of those guaranteed to other
	// customers, that long requests may borrow; 0 to 1.
	LongBorrowLimit float64
}
