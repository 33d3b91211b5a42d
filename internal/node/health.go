package node

import (
	"fmt"
	"time"

	"tamarackquay/internal/snapshot"
)

// HealthState is a node's state as shown to operators.
type HealthState string

// The health states, from best to worst.
const (
	// HealthReady: the node serves the newest configuration that was reported
	// to it.
	HealthReady HealthState = "ready"
	// HealthOldConfiguration: the node serves, but its configuration is old or
	// can't be verified to be the newest. It accepts requests like a ready
	// node.
	HealthOldConfiguration HealthState = "old-configuration"
	// HealthNotReady: the node refuses requests because it has no configuration
	// yet, waits for a newer one that was reported to it, or refreshes its
	// membership after a pause.
	HealthNotReady HealthState = "not-ready"
	// HealthStopping: a planned stop is under way; new requests are refused.
	HealthStopping HealthState = "stopping"
)

// Health is a node's state, when the state began, and the reasons for it.
type Health struct {
	State   HealthState `json:"state"`
	Since   time.Time   `json:"since"`
	Reasons []string    `json:"reasons,omitempty"`
}

// Serving reports whether the node accepts new requests.
func (h Health) Serving() bool {
	return h.State == HealthReady || h.State == HealthOldConfiguration
}

// healthInput holds all that the health state depends on.
type healthInput struct {
	stopping bool
	ready    bool
	applied  snapshot.Version
	reported snapshot.Version
	platform PlatformStatus
	problems []VersionProblem
	// appliedAt is when the current version was applied.
	appliedAt time.Time
}

// computeHealth returns the health state and all reasons for it.
func computeHealth(in healthInput) (HealthState, []string) {
	var reasons []string
	if in.applied.IsZero() {
		reasons = append(reasons, "no version in force yet")
	}
	if in.reported.NewerThan(in.applied) {
		reasons = append(reasons, fmt.Sprintf("version %s was reported, %s is in force", in.reported, in.applied))
	}
	for _, problem := range in.problems {
		if problem.Unresolved(in.applied, in.appliedAt) {
			reasons = append(reasons, fmt.Sprintf("%s: %s is not in force here", problem.Kind, problem.Subject()))
		}
	}
	if in.platform.State == PlatformUnreachable {
		reasons = append(reasons, "platform unreachable since "+in.platform.Since.UTC().Format(time.RFC3339))
	}
	switch {
	case in.stopping:
		return HealthStopping, append([]string{"planned stop"}, reasons...)
	case !in.ready:
		return HealthNotReady, append(reasons, in.notReadyReasons()...)
	case len(reasons) > 0:
		return HealthOldConfiguration, reasons
	}
	return HealthReady, nil
}

// notReadyReasons returns the reasons why a node with a version isn't ready,
// beyond those that computeHealth lists for any state.
func (in healthInput) notReadyReasons() []string {
	if in.applied.IsZero() || in.reported.NewerThan(in.applied) {
		return nil
	}
	return []string{"asks its peers what it missed after a pause"}
}

// next returns the new health. Since is kept while the state stays the same.
func (h Health) next(now time.Time, state HealthState, reasons []string) Health {
	if h.State == state {
		return Health{State: state, Since: h.Since, Reasons: reasons}
	}
	return Health{State: state, Since: now, Reasons: reasons}
}
