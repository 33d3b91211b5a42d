package node

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// drainPoll is how often a stopping node looks whether requests still run.
const drainPoll = 20 * time.Millisecond

// Stop begins a planned stop: peers are told at once and the local target takes
// no new work. Callers are served for the linger time through other nodes'
// targets, each answer closing its connection; then new requests are refused as
// not run. The call returns when what runs has finished, ctx has ended or the
// drain time is over.
//
// Without the linger time a listener would close while callers still hold idle
// connections to it, and a filing sent at that moment would be lost with an
// outcome that its caller can't know.
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
	sleep(ctx, n.config.Linger)
	n.closed.Store(true)
	deadline := n.ports.Clock.Now().Add(n.config.Drain)
	for n.running.Load() > 0 && ctx.Err() == nil && n.ports.Clock.Now().Before(deadline) {
		sleep(ctx, drainPoll)
	}
	n.audit(port.AuditEvent{Kind: port.AuditStopped})
}

// closeWhenStopping tells the other side to use the connection no more.
func (n *Node) closeWhenStopping(w http.ResponseWriter) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}
