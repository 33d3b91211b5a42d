package node

import (
	"context"
	"time"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/port"
)

// askTimeout bounds one question to a peer.
const askTimeout = 3 * time.Second

// tick sends heartbeats, retries what is due and starts or stops reading the
// platform.
func (n *Node) tick(ctx context.Context) {
	now := n.ports.Clock.Now()
	n.turn(now)
	n.detect(ctx, now)
	n.perform(ctx, n.state.Tick(now))
	n.publish(now)
	n.refresh(ctx, now)
	n.startReading(ctx)
}

// Handle implements port.PeerHandler.
func (n *Node) Handle(ctx context.Context, message port.Message) (port.Message, error) {
	switch m := message.(type) {
	case port.Heartbeat:
		n.heard(ctx, m)
		return n.heartbeat(m.From.VM.FailureDomain), nil
	case port.Announce:
		n.post(ctx, func(ctx context.Context, now time.Time) {
			n.perform(ctx, n.state.VersionReported(now, distribution.Source(m.From), m.Version))
		})
		return nil, nil
	case port.ManifestRequest:
		return n.manifestReply()
	case port.PartsRequest:
		return n.partsReply(m), nil
	}
	return n.handleMember(ctx, message)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
