// Package logfield names the fields of structured log lines of the mesh's nodes.
// docs/LOGS.md lists them; tamarackctl trace reads them.
package logfield

// Name is the name of a field.
type Name = string

// Fields of lines on a request.
const (
	// Request is the id that the caller gave its attempt.
	Request Name = "request"
	// Fingerprint is the same for requests that are the same to a target.
	Fingerprint Name = "fingerprint"
	Route       Name = "route"
	Service     Name = "service"
	// Target is the id of the target that an attempt was offered to.
	Target Name = "target"
	// Attempt is this node's own id of one offer to a target.
	Attempt Name = "attempt"
	// Outcome is how a decision ended, one of the Endings.
	Outcome Name = "outcome"
	Reason  Name = "reason"
	// Offers counts attempts, Arrivals those that may have reached a target.
	Offers   Name = "offers"
	Arrivals Name = "arrivals"
	Status   Name = "status"
	// After is the time since the request was read, in milliseconds.
	Elapsed Name = "after_ms"
	// RetryAfter is when the caller was asked to come back, in milliseconds.
	RetryAfter Name = "retry_after_ms"
	// Left is what was left of the time for the request, in milliseconds.
	TimeLeft Name = "left_ms"
	// CallerGone says that the caller had closed its connection.
	CallerDisconnected Name = "caller_gone"
	// Version is the configuration's version that the request was routed by.
	Version Name = "version"
	// ViewAge is how old the node's view of the mesh was, in milliseconds.
	ViewAge Name = "view_age_ms"
	// TargetRevision is the platform's revision of the target's entry.
	TargetRevision Name = "target_revision"
	// Believed is the load by which the target was chosen, running/waiting/slots,
	// and BelievedAge how old that word was, in milliseconds.
	ReportedLoad    Name = "believed_load"
	ReportedLoadAge Name = "believed_age_ms"
	Error           Name = "error"
)

// Fields of lines on what a process believes.
const (
	Neighbour Name = "neighbour"
	Revision  Name = "revision"
	Before    Name = "before"
	Routes    Name = "routes"
	State     Name = "state"
	Lines     Name = "lines"
	Kind      Name = "kind"
	// HadAnswered says that a target had answered requests since its start, Running how
	// many different requests it ran.
	HadAnswered Name = "had_answered"
	Running     Name = "running"
	// Late is how long an update was in transit, in milliseconds: since the platform
	// answered, or beyond the quickest message of the feed.
	UpdateDelay Name = "late_ms"
	// UsableFor is for how long a target stays in use whose entry is gone, in
	// milliseconds.
	UsableFor Name = "usable_ms"
)

// Ending is how a decision on a request ended.
type Ending = string

// The outcomes.
const (
	// Served: a target's answer was passed on.
	Served Ending = "served"
	// Refused: the request did not run.
	Refused Ending = "refused"
	// Unknown: the request may have run.
	Unknown Ending = "unknown"
	// Failed: an attempt failed or was refused; another may follow.
	Failed Ending = "failed"
	// BrokenOff: the answer broke while it was passed on.
	Interrupted Ending = "broken-off"
)
