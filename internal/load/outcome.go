package load

// Outcome is the result of a call as its caller observed it. A refusal includes its
// reason: "refused:queue-full".
type Outcome string

// The outcomes besides refusals.
const (
	// Answered is a complete response to this call.
	Answered Outcome = "answered"
	// Unknown is a response which says that the system does not know whether the call
	// ran.
	Unknown Outcome = "unknown"
	// Broken is a connection or body that ended early, with an error at the caller.
	Broken Outcome = "broken"
	// Wrong is a complete response that does not belong to this call. It must never
	// occur.
	Wrong Outcome = "wrong-answer"
	// Unreachable means that no connection to the entry node could be opened, so that
	// nothing was sent.
	Unreachable Outcome = "no-contact"
	// Failed is an error status from the target.
	Failed Outcome = "target-failed"
	// NotSent means that the generator had too many calls in flight.
	NotSent Outcome = "not-sent"
)

// refusedPrefix is the prefix of the outcomes of refusals.
const refusedPrefix = "refused:"

// Refused returns the outcome of a refusal with the given reason.
func Refused(reason string) Outcome { return Outcome(refusedPrefix + reason) }
