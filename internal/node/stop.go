package node

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/wait"
)

// drainPollInterval is how often a stopping node checks whether requests still
// run.
const drainPollInterval = 20 * time.Millisecond

// departureTimeout bounds the wait until peers have received the message that
// this process ends. Peers that don't receive it detect the end themselves.
const departureTimeout = 500 * time.Millisecond

// Stop performs a planned stop. Peers are notified at once, and the local target
// accepts no new requests. During the linger time, callers are served through
// other nodes' targets, and each response closes its connection; after it, new
// requests are refused as not run. Stop returns when all running requests have
// finished, ctx has ended or the drain timeout is over.
//
// Without the linger time, the listener would close while callers still hold
// idle connections to it. A request that a caller sends at that moment would be
// lost with an unknown outcome.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.audit(port.AuditEvent{Kind: port.AuditStopping})
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.table.Depart(now, membership.Departing)
		n.send(ctx, n.table.DepartureGossip(now))
	})
	wait.Sleep(ctx, n.config.Linger)
	n.closed.Store(true)
	deadline := n.ports.Clock.Now().Add(n.config.DrainTimeout)
	for n.running.Load() > 0 && ctx.Err() == nil && n.ports.Clock.Now().Before(deadline) {
		wait.Sleep(ctx, drainPollInterval)
	}
	n.sendDeparture(ctx)
	n.audit(port.AuditEvent{Kind: port.AuditStopped})
}

// setCloseWhenStopping sets "Connection: close" on responses of a stopping node,
// so that the client doesn't reuse the connection.
func (n *Node) setCloseWhenStopping(w http.ResponseWriter) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// sendDeparture notifies the neighbours that the process ends, so that they send
// it no more requests, and waits until they have received it.
func (n *Node) sendDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	departure := make(chan membership.GossipRound, 1)
	n.post(ctx, func(_ context.Context, now time.Time) {
		n.table.Depart(now, membership.Gone)
		departure <- n.table.DepartureGossip(now)
	})
	select {
	case round := <-departure:
		n.sendAll(ctx, round)
	case <-ctx.Done():
	}
}

func (n *Node) sendAll(ctx context.Context, round membership.GossipRound) {
	message := port.Gossip{From: n.config.Self.ID, Records: round.Records}
	done := make(chan struct{}, len(round.To))
	for _, vm := range round.To {
		n.background.Go(func() {
			_ = n.ports.Peers.Send(ctx, vm, message)
			done <- struct{}{}
		})
	}
	for range round.To {
		<-done
	}
}
