// Package admission decides, at the node that owns a target, which requests run now,
// which wait and which are refused. The owner node counts the slots of its target
// exactly, so an entry node with stale data causes a refusal but never an overload.
//
// Each customer is guaranteed a share of the slots. Slots that a customer doesn't use
// can be borrowed by others at once; when the customer needs them again, it gets the
// next slots that become free. docs/design/admission.md compares the alternatives.
//
// The package is pure: the caller passes the current time, and random numbers come from
// a seed.
package admission

import "time"

// MaxClasses is the number of classes that one contract may order. Higher ranks are
// treated as the last class.
const MaxClasses = 8

// MaxDepth is the depth of the innermost call of the longest call chain. Greater depths
// are treated as MaxDepth.
const MaxDepth = 9

// Request holds the properties of a request that admission depends on.
type Request struct {
	// ID is unique among the requests that wait or run at the target.
	ID       string
	Customer string
	// Rank is the position of the request's class in the contract; 0 is served first.
	Rank int
	// Depth is the number of open calls above this one in the same chain; 0 for a
	// request that comes directly from a caller.
	Depth int
	// Revisits is the number of those open calls that hold a slot of this same service.
	// If it is above 0, the chain is a cycle.
	Revisits int
	// Deadline is the time until which the caller waits for the first byte.
	Deadline time.Time
	// Long marks requests that hold a slot for minutes.
	Long bool
	// NoWait requests are refused with ReasonBusy instead of being queued, so that the
	// entry node can try another target first.
	NoWait bool
}

// Verdict is the result of offering a request.
type Verdict uint8

// The verdicts.
const (
	// Admitted requests hold a slot and run.
	Admitted Verdict = iota + 1
	// Queued requests wait for a slot.
	Queued
	// Refused requests neither run nor wait.
	Refused
)

// Reason is the cause of a refusal.
type Reason string

// The reasons for a refusal, which have the values of port.Reason. Each guarantees that the request did not run.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue-full"
	ReasonDeadline  Reason = "deadline"
	ReasonLimit     Reason = "limit"
	ReasonNoGrant   Reason = "no-grant"
	ReasonBusy      Reason = "busy"
	ReasonDuplicate Reason = "duplicate-call"
)

// Decision is the result of Queue.Offer.
type Decision struct {
	Verdict Verdict
	// Reason is ReasonNone unless the request was refused.
	Reason Reason
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// Drop is a waiting request that was removed without running.
type Drop struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Changes lists the effects of an event on requests, in order. The slices belong to the
// queue and are overwritten by its next event.
type Changes struct {
	Started []Request
	Dropped []Drop
}

// Share is a customer's share of the target's slots. All fields are fractions of the slots,
// from 0 to 1.
type Share struct {
	Guaranteed float64
	// Limit bounds the slots that the customer holds, guaranteed and borrowed together.
	Limit float64
	// LongLimit bounds the slots held by the customer's long requests; 0 means Limit.
	LongLimit float64
}

// Terms holds the number of slots of the target, and what the contracts grant of its
// service.
type Terms struct {
	Slots  int
	Shares map[string]Share
	// QueuePerSlot is the number of requests of a customer that may wait for each slot
	// that it is guaranteed, counting at least one slot.
	QueuePerSlot int
	// LongBorrowLimit is the fraction of the slots, out of those guaranteed to other
	// customers, that long requests may borrow; 0 to 1.
	LongBorrowLimit float64
}
