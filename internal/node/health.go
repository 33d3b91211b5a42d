package node

import (
	"fmt"
	"time"

	"tamarackquay/internal/snapshot"
)

// HealthState tells what an operator may expect of a node.
type HealthState string

// The states, from the best to the last.
const (
	// HealthReady: the node serves on the newest configuration that it has
	// any word of.
	HealthReady HealthState = "ready"
	// HealthOldConfiguration: the node serves, and what it serves on is old or
	// can't be shown to be new. It takes requests like a ready node.
	HealthOldConfiguration HealthState = "old-configuration"
	// HealthNotReady: the node refuses requests; it has no configuration yet,
	// or waits for a newer one that was reported to it.
	HealthNotReady HealthState = "not-ready"
	// HealthStopping: a planned stop is under way; new requests are refused.
	HealthStopping HealthState = "stopping"
)

// Health is a node's state, the time since when it lasts, and why.
type Health struct {
	State   HealthState `json:"state"`
	Since   time.Time   `json:"since"`
	Reasons []string    `json:"reasons,omitempty"`
}

// Serving reports whether the node takes new requests.
func (h Health) Serving() bool {
	return h.State == HealthReady || h.State == HealthOldConfiguration
}

// healthFacts is all that the state follows from.
type healthFacts struct {
	stopping bool
	ready    bool
	applied  snapshot.Version
	reported snapshot.Version
	platform PlatformStatus
	troubles []VersionProblem
	// appliedAt is when the version in force was applied.
	appliedAt time.Time
}

// judgeHealth decides the state and names every reason for it.
func judgeHealth(facts healthFacts) (HealthState, []string) {
	var reasons []string
	if facts.applied.IsZero() {
		reasons = append(reasons, "no version in force yet")
	}
	if facts.reported.NewerThan(facts.applied) {
		reasons = append(reasons, fmt.Sprintf("version %s was reported, %s is in force", facts.reported, facts.applied))
	}
	for _, trouble := range facts.troubles {
		if trouble.Unresolved(facts.applied, facts.appliedAt) {
			reasons = append(reasons, fmt.Sprintf("%s: %s is not in force here", trouble.Kind, trouble.Subject()))
		}
	}
	if facts.platform.State == PlatformUnreachable {
		reasons = append(reasons, "platform unreachable since "+facts.platform.Since.UTC().Format(time.RFC3339))
	}
	switch {
	case facts.stopping:
		return HealthStopping, append([]string{"planned stop"}, reasons...)
	case !facts.ready:
		return HealthNotReady, append(reasons, facts.unready()...)
	case len(reasons) > 0:
		return HealthOldConfiguration, reasons
	}
	return HealthReady, nil
}

// unready names what keeps a node that has a version from serving.
func (f healthFacts) unready() []string {
	if f.applied.IsZero() || f.reported.NewerThan(f.applied) {
		return nil
	}
	return []string{"asks its peers what it missed after a pause"}
}

// next carries the time of the last change over while the state lasts.
func (h Health) next(now time.Time, state HealthState, reasons []string) Health {
	if h.State == state {
		return Health{State: state, Since: h.Since, Reasons: reasons}
	}
	return Health{State: state, Since: now, Reasons: reasons}
}
