package port

import (
	"fmt"
	"time"
)

// Reason is the machine-readable reason for which a request was refused.
type Reason string

// The reasons. A refusal with any reason guarantees that the request did not run.
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
	// ReasonShedWithRoom: the target shed the request although it reports free
	// slots.
	ReasonShedWithRoom Reason = "shed-with-room"
	// ReasonQuarantined: targets have crashed while running the same request.
	ReasonQuarantined Reason = "quarantined"
	// ReasonMisdirected: the address now belongs to a different target than the
	// request was sent to, and that target has reported the mismatch.
	ReasonMisdirected Reason = "misdirected"
)

// Refusal is the error for a request that is proven not to have run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which the caller may retry; zero means that
	// retrying the same request won't succeed.
	RetryAfter time.Duration
	// Detail is a human-readable explanation.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused, did not run: %s: %s", r.Reason, r.Detail)
}

// Refuse returns a refusal with a formatted detail. The request may be retried after
// retryAfter, unless that is zero.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// UnknownOutcome is the error for a request that may have run: bytes reached the
// target, and no complete response was received.
type UnknownOutcome struct {
	// Stage is the stage at which the request failed.
	Stage string
	Cause error
}

// Error implements error.
func (u *UnknownOutcome) Error() string {
	return fmt.Sprintf("outcome unknown at %s: %v", u.Stage, u.Cause)
}

// Unwrap returns the cause.
func (u *UnknownOutcome) Unwrap() error { return u.Cause }
