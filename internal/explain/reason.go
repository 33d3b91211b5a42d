package explain

import (
	"slices"

	"tamarackquay/internal/port"
)

// Meaning explains the reason of a refusal to a caller or an operator.
type Meaning struct {
	// Cause is the situation in which the request was refused.
	Cause string `json:"why"`
	// Remedy is what the caller or operator can do.
	Remedy string `json:"do"`
}

// meanings explains every reason of package port; a test in test/docs checks that
// none is missing.
var meanings = map[port.Reason]Meaning{
	port.ReasonNotReady:       {"the entry node has no current configuration yet", "try another node; see its /readyz"},
	port.ReasonStopping:       {"the node is in a planned stop", "try another node at once"},
	port.ReasonUnknownToken:   {"no contract accepts the caller's token", "check token_hashes and whether the version with the token is in force"},
	port.ReasonUnknownRoute:   {"the customer's contract has no route for the path", "add a [[contract.route]] or correct the path"},
	port.ReasonMethod:         {"the route does not take the method", "add it to the route's methods"},
	port.ReasonNoTarget:       {"no live target of the service is within the route's spill", "see the members of the node, and widen spill if it bars them"},
	port.ReasonRegion:         {"no usable target of the service is in a region or failure domain that the route allows", "see the targets that are allowed, or allow others"},
	port.ReasonEvacuated:      {"an operator evacuates the target's failure domain", "come back after Retry-After; the evacuation lines of the log tell since when"},
	port.ReasonQueueFull:      {"all slots and the customer's places in the queue were taken", "come back after Retry-After; compare demand with the share"},
	port.ReasonDeadline:       {"the route's deadline came before a slot was free", "come back after Retry-After; compare demand with the share"},
	port.ReasonBusy:           {"the target would have made the request wait, and the entry node asked it not to", "nothing to do: the entry node tries the next target; as a final answer, come back after Retry-After"},
	port.ReasonLimit:          {"the customer already holds all that its limit allows", "come back after Retry-After, or raise the grant's limit"},
	port.ReasonNoGrant:        {"the contract grants nothing of the service", "add a [[contract.grant]]"},
	port.ReasonDraining:       {"the target takes no new work", "try another node; the target is leaving"},
	port.ReasonBehind:         {"the target's node has an older configuration than the request", "come back after Retry-After; see 'tamarackctl status' for who lags"},
	port.ReasonWrongOwner:     {"the VM runs another service than the entry node believed", "come back; the entry node's membership is old"},
	port.ReasonShed:           {"the target itself shed the request before running it", "come back after Retry-After; see the target's load"},
	port.ReasonShedWithRoom:   {"the target turned the request away although it says that it has free slots", "come back after Retry-After; the target is ill, see its own logs"},
	port.ReasonQuarantined:    {"targets crashed under the same request before; it is kept from others", "not before Retry-After; mend what crashes the targets, see target crashed lines with its fingerprint"},
	port.ReasonMisdirected:    {"another target has the address now, and ran nothing", "come back; the entry node's view is old, see tamarack_view_age_seconds"},
	port.ReasonShortage:       {"the service has lacked slots for some time, and another attempt would very likely have been refused", "come back after Retry-After, which is between a quarter and a third of the time that the caller has left; add capacity if shortages recur"},
	port.ReasonMemory:         {"the node has no memory for the request, or its target crashed while it held about as much", "come back after Retry-After; see tamarack_memory_held_bytes and the 'target crashed' lines"},
	port.ReasonUnreachable:    {"no byte of the request reached the target", "come back after Retry-After; see the members of the node"},
	port.ReasonBodyTooLarge:   {"the body is over requests.max_body_bytes", "send less, or raise the setting on the nodes"},
	port.ReasonHeaderTooLarge: {"the headers are over requests.max_header_bytes, or over the limit of the users' configuration", "send less, or raise the limit"},
	port.ReasonHeaderTooSlow:  {"the headers did not come within the limit of the users' configuration", "look at the caller's link; nothing ran"},
	port.ReasonBadRequest:     {"the request can't be sent on as it is", "correct the request"},
	port.ReasonDuplicateCall:  {"the target's node has already taken a call of this id", "nothing to do; the first call's answer counts"},
}

// MeaningOf returns the meaning of a reason, and false if the reason is unknown.
func MeaningOf(reason port.Reason) (Meaning, bool) {
	meaning, ok := meanings[reason]
	return meaning, ok
}

// Reasons returns all reasons, sorted.
func Reasons() []string {
	var reasons []string
	for reason := range meanings {
		reasons = append(reasons, string(reason))
	}
	slices.Sort(reasons)
	return reasons
}

// loadConditions returns the refusals that depend on the current load or state.
func loadConditions(route Route) []Condition {
	conditions := []Condition{
		{port.ReasonLimit, "the customer holds its limit at the target: " + route.Limit.Value, route.Limit.Location},
		{port.ReasonQueueFull, "all slots are in use and the customer's queue is full: requests.queue_per_slot (settings) for each slot that it is guaranteed", ""},
		{port.ReasonDeadline, "no slot is free within " + route.Deadline.Value, route.Deadline.Location},
		{port.ReasonNoTarget, "no target within spill \"" + route.Spill.Value + "\" is live", route.Spill.Location},
	}
	if route.Domains.Value != "" {
		conditions = append(conditions, Condition{port.ReasonRegion, "no target is live in " + route.Domains.Value, route.Domains.Location})
	}
	return conditions
}
