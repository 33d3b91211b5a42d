package node

import (
	"context"
	"time"

	"tamarackquay/internal/port"
)

// askTimeout bounds one question to a peer.
const askTimeout = 3 * time.Second

// tick sends heartbeats, retries what is due and looks whether this node is a
// reader of the platform.
func (n *Node) tick(ctx context.Context) {
	now := n.ports.Clock.Now()
	n.gate.Tick()
	n.turn(now)
	n.detect(ctx, now)
	n.updateRank()
	n.perform(ctx, n.state.Tick(now))
	n.publish(now)
	n.refresh(ctx, now)
}

// advance does what distribution has due between two ticks.
func (n *Node) advance(ctx context.Context) {
	now := n.ports.Clock.Now()
	n.perform(ctx, n.state.Tick(now))
	n.publish(now)
}

// leastWake keeps a time that is due again and again from taking the processor.
const leastWake = time.Millisecond

// armWake sets the timer for what distribution has due before the next tick.
func (n *Node) armWake(wake *time.Timer) {
	now := n.ports.Clock.Now()
	wait := n.config.Heartbeat
	if at := n.state.NextTick(now); !at.IsZero() {
		wait = min(wait, max(at.Sub(now), leastWake))
	}
	wake.Reset(wait)
}

// Handle implements port.PeerHandler.
func (n *Node) Handle(ctx context.Context, message port.Message) (port.Message, error) {
	switch m := message.(type) {
	case port.Heartbeat:
		n.heard(ctx, m)
		return n.heartbeat(m.From.VM.FailureDomain), nil
	case port.Announce:
		n.announced(ctx, m)
		return nil, nil
	case port.ManifestRequest:
		return n.manifestReply()
	case port.PartsRequest:
		return n.partsReply(m)
	}
	return n.handleMember(ctx, message)
}
