package node

import (
	"context"
	"slices"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// heartbeatPeers is how many random peers hear of this node each time.
const heartbeatPeers = 3

func (n *Node) heartbeat() port.Heartbeat {
	beat := port.Heartbeat{From: n.self, Version: n.state.AppliedVersion()}
	if applied := n.state.Applied(); applied != nil {
		beat.Root = applied.Root()
	}
	for _, record := range n.view.Load().Records {
		if record.VM.ID != n.config.Self.ID && record.Incarnation > 0 {
			beat.Others = append(beat.Others, record)
		}
	}
	return beat
}

func (n *Node) sendHeartbeats(ctx context.Context) {
	beat := n.heartbeat()
	for _, vm := range n.heartbeatTargets() {
		n.background.Go(func() { n.exchange(ctx, vm, beat) })
	}
}

// heartbeatTargets picks random peers, and seeds while no peer is known.
func (n *Node) heartbeatTargets() []membership.VM {
	peers := slices.Clone(n.view.Load().Peers)
	if len(peers) == 0 {
		for _, address := range n.config.Seeds {
			peers = append(peers, membership.VM{PeerAddress: address})
		}
	}
	for i := range min(heartbeatPeers, len(peers)) {
		j := i + n.pick(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:min(heartbeatPeers, len(peers))]
}

// exchange sends a heartbeat and takes the peer's own in answer.
func (n *Node) exchange(ctx context.Context, vm membership.VM, beat port.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.ports.Peers.Ask(ctx, vm, beat)
	if err != nil {
		return
	}
	if reply, ok := answer.(port.Heartbeat); ok {
		n.heard(ctx, reply)
	}
}

func (n *Node) heard(ctx context.Context, beat port.Heartbeat) {
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.table.Heard(now, beat.From)
		for _, record := range beat.Others {
			if record.VM.ID != n.config.Self.ID {
				n.table.Heard(now, record)
			}
		}
		n.perform(ctx, n.state.VersionReported(now, n.claimOf(beat)))
	})
}
