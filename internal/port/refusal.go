package port

import (
	"fmt"
	"time"
)

// Reason says why a request was refused, in a form that callers may act on.
type Reason string

// The reasons. Every refusal promises that the request did not run.
const (
	ReasonNotReady      Reason = "not-ready"
	ReasonStopping      Reason = "stopping"
	ReasonUnknownToken  Reason = "unknown-token"
	ReasonUnknownRoute  Reason = "unknown-route"
	ReasonMethod        Reason = "method-not-allowed"
	ReasonNoTarget      Reason = "no-target"
	ReasonQueueFull     Reason = "queue-full"
	ReasonDeadline      Reason = "deadline"
	ReasonBusy          Reason = "busy"
	ReasonLimit         Reason = "limit"
	ReasonNoGrant       Reason = "no-grant"
	ReasonDraining      Reason = "draining"
	ReasonBehind        Reason = "behind"
	ReasonWrongOwner    Reason = "wrong-owner"
	ReasonShed          Reason = "shed"
	ReasonUnreachable   Reason = "unreachable"
	ReasonBodyTooLarge  Reason = "body-too-large"
	ReasonBadRequest    Reason = "bad-request"
	ReasonDuplicateCall Reason = "duplicate-call"

	ReasonHeaderTooLarge Reason = "header-too-large"
	ReasonHeaderTooSlow  Reason = "header-too-slow"
	// ReasonShedWithRoom: the target turned the request away although it says
	// that it has free slots.
	ReasonShedWithRoom Reason = "shed-with-room"
	// ReasonQuarantined: targets crashed under the same request before.
	ReasonQuarantined Reason = "quarantined"
	// ReasonMisdirected: the target that has the address now is another one
	// than the request was meant for, and said so.
	ReasonMisdirected Reason = "misdirected"
)

// Refusal is the error of a request that is proven not to have run.
type Refusal struct {
	Reason Reason
	// RetryAfter tells the caller when to come back; zero means that coming
	// back unchanged won't help.
	RetryAfter time.Duration
	// Detail is one sentence for a person.
	Detail string
}

// Error renders the refusal for logs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused, did not run: %s: %s", r.Reason, r.Detail)
}

// Refuse makes a refusal that a later try may pass.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Unknown is the error of a request that may have run: bytes reached the
// target, and no whole answer came back.
type UnknownOutcome struct {
	// Stage says how far the request had come.
	Stage string
	Cause error
}

// Error renders the outcome for logs.
func (u *UnknownOutcome) Error() string {
	return fmt.Sprintf("outcome unknown at %s: %v", u.Stage, u.Cause)
}

// Unwrap gives the cause.
func (u *UnknownOutcome) Unwrap() error { return u.Cause }
