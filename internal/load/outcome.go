package load

// Outcome is what a caller knows of a call once it is over. Refusals are told
// apart by their reason: "refused:queue-full".
type Outcome string

// The outcomes besides refusals.
const (
	// Answered: whole, and the answer to this call.
	Answered Outcome = "answered"
	// Unknown: the system said that it does not know whether the call ran.
	Unknown Outcome = "unknown"
	// Broken: the connection or the body broke; the caller sees that.
	Broken Outcome = "broken"
	// Wrong: a whole answer that is not the answer to this call. It must never
	// happen.
	Wrong Outcome = "wrong-answer"
	// NoContact: the entry node could not be reached, so nothing was sent.
	Unreachable Outcome = "no-contact"
	// Failed: the target answered with an error status.
	Failed Outcome = "target-failed"
	// NotSent: the generator had too many calls open.
	NotSent Outcome = "not-sent"
)

// refusedPrefix begins the outcome of a refusal.
const refusedPrefix = "refused:"

// Refused is the outcome of a refusal with a reason.
func Refused(reason string) Outcome { return Outcome(refusedPrefix + reason) }
