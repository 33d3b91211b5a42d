package node

import (
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/snapshot"
)

// Status is what operators see of a node.
type Status struct {
	VM       membership.VM       `json:"vm"`
	Ready    bool                `json:"ready"`
	Stopping bool                `json:"stopping"`
	Applied  snapshot.Version    `json:"applied"`
	Root     snapshot.Hash       `json:"root"`
	Reported snapshot.Version    `json:"reported"`
	Running  int                 `json:"running"`
	Waiting  int                 `json:"waiting"`
	Members  []membership.Record `json:"members"`

	// Unheard counts VMs that only the platform's list has named.
	Unheard int `json:"unheard"`
	// Unreachable are the failure domains without contact.
	Unreachable []string `json:"unreachable,omitempty"`
	// Isolated is set while the node hears no peer at all.
	Isolated bool `json:"isolated,omitempty"`

	// pulse is what heartbeats to peers carry.
	pulse pulse
}

func (n *Node) newStatus(now time.Time, view *membership.View) *Status {
	s := &Status{
		VM: n.config.Self, Applied: n.state.AppliedVersion(), Reported: n.state.Reported(),
		Members: view.Records, Unheard: view.Unheard, Unreachable: view.Unreachable, Isolated: view.Isolated,
	}
	if applied := n.state.Applied(); applied != nil {
		s.Root = applied.Root()
	}
	s.pulse = n.newPulse(now)
	return s
}

// Status returns the picture of the node at this moment.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.Ready = n.Ready()
	s.Stopping = n.stopping.Load()
	s.Running, s.Waiting = n.gate.counts()
	return s
}
