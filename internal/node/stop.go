package node

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// drainPoll is how often a stopping node looks whether requests still run.
const drainPoll = 20 * time.Millisecond

// Stop begins a planned stop: peers are told at once, new work is refused as
// not run, and the call returns when what runs has finished, ctx has ended or
// the drain time is over.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.audit(port.AuditEvent{Kind: port.AuditStopping})
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.self.State = membership.Departing
		n.self.Sequence++
		n.table.Heard(now, n.self)
		n.publish(now)
		beat := n.heartbeat()
		for _, vm := range n.view.Load().Peers {
			n.background.Go(func() { n.exchange(ctx, vm, beat) })
		}
	})
	deadline := n.ports.Clock.Now().Add(n.config.Drain)
	for n.running.Load() > 0 && ctx.Err() == nil && n.ports.Clock.Now().Before(deadline) {
		sleep(ctx, drainPoll)
	}
	n.audit(port.AuditEvent{Kind: port.AuditStopped})
}
