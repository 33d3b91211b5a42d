// Package logfield defines the field names of the structured log lines that the
// mesh's nodes write. docs/LOGS.md documents them, and tamarackctl trace reads them.
package logfield

// Name is the name of a field.
type Name = string

// Fields of log lines about a request.
const (
	// Request is the caller's id of its attempt.
	Request Name = "request"
	// Fingerprint is equal for requests that are identical for a target.
	Fingerprint Name = "fingerprint"
	Route       Name = "route"
	Service     Name = "service"
	// Target is the id of the target to which an attempt was sent.
	Target Name = "target"
	// Attempt is this node's id of one attempt at a target.
	Attempt Name = "attempt"
	// Outcome is the result of a decision, one of the values of Ending.
	Outcome Name = "outcome"
	Reason  Name = "reason"
	// Attempts is the number of attempts, and Arrivals the number of those that may
	// have reached a target.
	Attempts Name = "offers"
	Arrivals Name = "arrivals"
	Status   Name = "status"
	// NotExecuted is whether a target's response says that it did not run the request.
	NotExecuted Name = "not_executed"
	// Elapsed is the time since the request was read, in milliseconds.
	Elapsed Name = "after_ms"
	// RetryAfter is the delay until the caller may retry, in milliseconds.
	RetryAfter Name = "retry_after_ms"
	// TimeLeft is the time left until the request's deadline, in milliseconds.
	TimeLeft Name = "left_ms"
	// CallerDisconnected is true if the caller had closed its connection.
	CallerDisconnected Name = "caller_gone"
	// Version is the configuration version with which the request was routed.
	Version Name = "version"
	// ViewAge is the age of the node's view of the mesh, in milliseconds.
	ViewAge Name = "view_age_ms"
	// TargetRevision is the platform's revision of the target's entry.
	TargetRevision Name = "target_revision"
	// ReportedLoad is the last reported load with which the target was chosen, as
	// running/waiting/slots, and ReportedLoadAge the age of that report, in
	// milliseconds.
	ReportedLoad    Name = "believed_load"
	ReportedLoadAge Name = "believed_age_ms"
	Error           Name = "error"
)

// Fields of log lines about the state of a process.
const (
	// Caller is the address of a caller, IP:port.
	Caller    Name = "caller"
	Neighbour Name = "neighbour"
	Revision  Name = "revision"
	Before    Name = "before"
	Routes    Name = "routes"
	State     Name = "state"
	Lines     Name = "lines"
	Kind      Name = "kind"
	// Listener is the name of a listener, and Ended how many of its connections were ended.
	Listener Name = "listener"
	Ended    Name = "ended"
	// HadAnswered is true if a target had answered requests since its start. Running
	// is the number of different requests that it ran.
	HadAnswered Name = "had_answered"
	Running     Name = "running"
	// UpdateDelay is the transit time of an update, in milliseconds: since the
	// platform's response, or in excess of the fastest message of the feed.
	UpdateDelay Name = "late_ms"
	// UsableFor is the time for which a target stays in use after its entry was
	// removed, in milliseconds.
	UsableFor Name = "usable_ms"
	// UnconfirmedFor is the time for which a target's ready entry doesn't count, in
	// milliseconds.
	UnconfirmedFor Name = "unconfirmed_ms"
	// Started is the start of the process that wrote a target's entry, and KnownStart that of
	// the process that the node knows, in Unix milliseconds by the clock of the target's VM.
	Started    Name = "started_ms"
	KnownStart Name = "known_start_ms"
	// FailureDomain is the failure domain that an operator evacuates, or no longer does,
	// as Evacuated says.
	FailureDomain Name = "failure_domain"
	Evacuated     Name = "evacuated"
	// Warmup is how long a target still warms up, in milliseconds.
	Warmup Name = "warmup_ms"
	// Limited is true if a target limits its requests, and Limit the number that it takes
	// per second.
	Limited Name = "limited"
	Limit   Name = "limit_per_s"
	// ShortageAge is how long a shortage of a service has lasted, in milliseconds.
	ShortageAge Name = "shortage_ms"
	// Requests and Retries are the numbers that a node has counted in the window of the
	// retry budget, Allowed the most retries that it may reach, Denied the number that it
	// didn't allow since the last line, and VMs the number of VMs that share the budget's
	// fixed part. Uptime is the time since the start of the process, in milliseconds.
	Requests Name = "requests"
	Retries  Name = "retries"
	Allowed  Name = "allowed"
	Denied   Name = "denied"
	VMs      Name = "vms"
	Uptime   Name = "uptime_ms"
	// HeldBytes is the number of bytes that a connection or the target holds, TotalBytes
	// that of all connections, and BoundBytes the most that the target may hold. Stalled
	// is how long a receiver has read nothing, in milliseconds.
	HeldBytes  Name = "held_bytes"
	TotalBytes Name = "total_bytes"
	BoundBytes Name = "bound_bytes"
	Stalled    Name = "stalled_ms"
	// Header is the name of a header of a target's response, and Value a value in one.
	Header Name = "header"
	Value  Name = "value"
	// Slowdown is how long work takes at a target, as a multiple of its own mean, and
	// SlowdownAge how long before that the target reported it, in milliseconds.
	Slowdown    Name = "slowdown"
	SlowdownAge Name = "slowdown_age_ms"
)

// Ending is the result of a decision about a request.
type Ending = string

// The values of Ending.
const (
	// Served: a target's response was passed on to the caller.
	Served Ending = "served"
	// Refused: the request did not run.
	Refused Ending = "refused"
	// Unknown: the request may have run.
	Unknown Ending = "unknown"
	// Failed: an attempt failed or was refused; another may follow.
	Failed Ending = "failed"
	// Interrupted: the response was interrupted while it was passed on.
	Interrupted Ending = "broken-off"
)
