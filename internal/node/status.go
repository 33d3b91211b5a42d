package node

import (
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
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

	// beat is the answer to a peer's heartbeat.
	beat port.Heartbeat
}

func (n *Node) newStatus(view *membership.View) *Status {
	s := &Status{VM: n.config.Self, Applied: n.state.AppliedVersion(), Reported: n.state.Reported(), Members: view.Records}
	if applied := n.state.Applied(); applied != nil {
		s.Root = applied.Root()
	}
	s.beat = n.heartbeat()
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
