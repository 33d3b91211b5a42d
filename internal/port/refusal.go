package port

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Reason is the machine-readable reason for which a request was refused.
type Reason string

// The reasons. A refusal with any reason guarantees that the request did not run.
const (
	// ReasonNotReady: the entry node has no current configuration yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonStopping: the node is in a planned stop.
	ReasonStopping Reason = "stopping"
	// ReasonUnknownToken: no contract accepts the caller's token.
	ReasonUnknownToken Reason = "unknown-token"
	// ReasonUnknownRoute: no route matches the request.
	ReasonUnknownRoute Reason = "unknown-route"
	// ReasonMethod: the route doesn't accept the HTTP method.
	ReasonMethod Reason = "method-not-allowed"
	// ReasonNoTarget: no usable target of the service is within the route's reach.
	ReasonNoTarget Reason = "no-target"
	// ReasonRegion: no usable target of the service is in a region that the route allows.
	ReasonRegion Reason = "region-not-allowed"
	// ReasonEvacuated: an operator evacuates the target's failure domain.
	ReasonEvacuated Reason = "evacuated"
	// ReasonQueueFull: all slots are in use, and the customer's queue is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline: no slot became free before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonBusy: the request would have had to wait, and Call.NoWait was set.
	ReasonBusy Reason = "busy"
	// ReasonLimit: the customer holds all slots that its limit permits.
	ReasonLimit Reason = "limit"
	// ReasonNoGrant: the customer's contract grants nothing of the service.
	ReasonNoGrant Reason = "no-grant"
	// ReasonDraining: the target accepts no new requests.
	ReasonDraining Reason = "draining"
	// ReasonBehind: the owner node has an older configuration than the sender.
	ReasonBehind Reason = "behind"
	// ReasonWrongOwner: the receiving VM runs a different service.
	ReasonWrongOwner Reason = "wrong-owner"
	// ReasonShed: the target shed the request before running it.
	ReasonShed Reason = "shed"
	// ReasonUnreachable: no byte of the request reached the target.
	ReasonUnreachable Reason = "unreachable"
	// ReasonBodyTooLarge: the body exceeds the size limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonBadRequest: the request can't be forwarded as it is.
	ReasonBadRequest Reason = "bad-request"
	// ReasonDuplicateCall: the owner node has already received a call with this id.
	ReasonDuplicateCall Reason = "duplicate-call"

	// ReasonHeaderTooLarge: the headers exceed the size limit.
	ReasonHeaderTooLarge Reason = "header-too-large"
	// ReasonHeaderTooSlow: the headers did not arrive within the header timeout.
	ReasonHeaderTooSlow Reason = "header-too-slow"
	// ReasonShedWithRoom: the target shed the request although it reports free
	// slots.
	ReasonShedWithRoom Reason = "shed-with-room"
	// ReasonQuarantined: targets have crashed while running the same request.
	ReasonQuarantined Reason = "quarantined"
	// ReasonMisdirected: the address now belongs to a different target than the
	// request was sent to, and that target has reported the mismatch.
	ReasonMisdirected Reason = "misdirected"
	// ReasonShortage: the service has lacked slots for some time, and another attempt
	// would very likely be refused.
	ReasonShortage Reason = "shortage"
	// ReasonMemory: the node, or the target, has no memory for the request.
	ReasonMemory Reason = "memory"
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

// Unwrap returns the cause, or nil if that contains a refusal: errors.As must not find a refusal in
// an unknown outcome.
func (u *UnknownOutcome) Unwrap() error {
	var refusal *Refusal
	if errors.As(u.Cause, &refusal) {
		return nil
	}
	return u.Cause
}
