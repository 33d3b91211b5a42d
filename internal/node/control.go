package node

import (
	"context"
	"time"

	"tamarackquay/internal/port"
)

// requestTimeout bounds one message exchange with a peer.
const requestTimeout = 3 * time.Second

// tick sends heartbeats, performs actions that are due and updates whether this
// node is a reader of the platform.
func (n *Node) tick(ctx context.Context) {
	now := n.ports.Clock.Now()
	n.gate.Tick()
	n.checkPause(now)
	n.runDetector(ctx, now)
	n.updateRank()
	n.perform(ctx, n.state.Tick(now))
	n.publish(now)
	n.refresh(ctx, now)
}

// advance performs distribution's actions that are due between two ticks.
func (n *Node) advance(ctx context.Context) {
	now := n.ports.Clock.Now()
	n.perform(ctx, n.state.Tick(now))
	n.publish(now)
}

// minTimerInterval is the shortest time for which the timer is set. It prevents a
// busy loop if an action is due again at once.
const minTimerInterval = time.Millisecond

// resetTimer sets the timer to distribution's next action before the next tick.
func (n *Node) resetTimer(timer *time.Timer) {
	now := n.ports.Clock.Now()
	wait := n.config.Heartbeat
	if at := n.state.NextTick(now); !at.IsZero() {
		wait = min(wait, max(at.Sub(now), minTimerInterval))
	}
	timer.Reset(wait)
}

// Handle implements port.PeerHandler.
func (n *Node) Handle(ctx context.Context, message port.Message) (port.Message, error) {
	switch m := message.(type) {
	case port.Heartbeat:
		n.heartbeatReceived(ctx, m)
		return n.heartbeat(m.From.VM.FailureDomain), nil
	case port.Announce:
		n.announceReceived(ctx, m)
		return nil, nil
	case port.ManifestRequest:
		return n.manifestReply()
	case port.PartsRequest:
		return n.partsReply(m)
	}
	return n.handleMembership(ctx, message)
}
