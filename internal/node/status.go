package node

import (
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// Status is a node's state as shown to operators.
type Status struct {
	VM       membership.VM `json:"vm"`
	Ready    bool          `json:"ready"`
	Stopping bool          `json:"stopping"`
	Health   Health        `json:"health"`
	// Started is when the process started.
	Started time.Time        `json:"started"`
	Applied snapshot.Version `json:"applied"`
	Root    snapshot.Hash    `json:"root"`
	// AppliedAt is when this node applied the version, by its own clock; zero
	// while it has none. PublishedBy and PublishedAt are copied from the
	// manifest, as the publisher set them.
	AppliedAt   time.Time        `json:"applied_at"`
	PublishedBy string           `json:"published_by"`
	PublishedAt time.Time        `json:"published_at"`
	Reported    snapshot.Version `json:"reported"`
	Platform    PlatformStatus   `json:"platform"`
	// Running and Waiting count the requests in the local target's slots and
	// queue.
	Running int                 `json:"running"`
	Waiting int                 `json:"waiting"`
	Members []membership.Record `json:"members,omitempty"`
	// MemberCount is the length of Members, and is set even if Members is left
	// out.
	MemberCount int `json:"member_count"`
	// VersionProblems are the latest versions that were refused, incomplete or
	// in conflict with another, oldest first.
	VersionProblems []VersionProblem `json:"troubles,omitempty"`
	// RefusedRequests counts refusals to callers since the start, by reason.
	RefusedRequests map[port.Reason]int `json:"refused_requests,omitempty"`

	// Unconfirmed counts VMs that are known from the platform's list only.
	Unconfirmed int `json:"unheard"`
	// Unreachable lists the failure domains without contact.
	Unreachable []string `json:"unreachable,omitempty"`
	// Isolated is set while the node has no contact with any peer.
	Isolated bool `json:"isolated,omitempty"`

	// heartbeat is the content of heartbeats to peers.
	heartbeat heartbeatState
}

// newStatus builds the part of the status that the control loop owns. It runs on
// the control loop after each event.
func (n *Node) newStatus(now time.Time, view *membership.View) *Status {
	s := &Status{
		VM: n.config.Self, Started: n.observer.started,
		Applied: n.state.AppliedVersion(), Reported: n.state.ReportedVersion(), Platform: n.observer.platform.state(),
		Members: view.Records, MemberCount: len(view.Records), Unconfirmed: view.Unconfirmed, Unreachable: view.Unreachable, Isolated: view.Isolated,
	}
	if applied := n.state.Applied(); applied != nil {
		s.Root = applied.Root()
		s.PublishedBy = applied.Manifest().PublishedBy
		s.PublishedAt = applied.Manifest().PublishedAt
	}
	previous := n.status.Load()
	if previous == nil {
		previous = &Status{}
	}
	s.AppliedAt = previous.AppliedAt
	if s.Applied != previous.Applied {
		s.AppliedAt = now
	}
	s.VersionProblems = n.observer.problems.all()
	state, reasons := computeHealth(healthInput{
		stopping: n.stopping.Load(), ready: n.ready.Load(), applied: s.Applied, reported: s.Reported,
		platform: s.Platform, problems: s.VersionProblems, appliedAt: s.AppliedAt,
	})
	s.Health = previous.Health.next(now, state, reasons)
	s.heartbeat = n.newHeartbeatState(now)
	n.observer.observe(n, now, s, view)
	return s
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Ready = n.Ready()
	s.Stopping = n.stopping.Load()
	if s.Stopping && s.Health.State != HealthStopping {
		s.Health = Health{State: HealthStopping, Since: n.ports.Clock.Now(), Reasons: []string{"planned stop"}}
	}
	s.Running, s.Waiting = n.gate.Counts()
	s.RefusedRequests = n.observer.refusals.totals()
	return s
}
