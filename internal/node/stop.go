package node

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/wait"
)

// drainPoll is how often a stopping node looks whether requests still run.
const drainPoll = 20 * time.Millisecond

// lastWordTimeout bounds the wait for peers to take the word that this process
// ends. Who misses it finds out by itself.
const lastWordTimeout = 500 * time.Millisecond

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
		n.table.Depart(now, membership.Departing)
		n.send(ctx, n.table.DepartureGossip(now))
	})
	wait.Sleep(ctx, n.config.Linger)
	n.closed.Store(true)
	deadline := n.ports.Clock.Now().Add(n.config.DrainTimeout)
	for n.running.Load() > 0 && ctx.Err() == nil && n.ports.Clock.Now().Before(deadline) {
		wait.Sleep(ctx, drainPoll)
	}
	n.sayGone(ctx)
	n.audit(port.AuditEvent{Kind: port.AuditStopped})
}

// closeWhenStopping tells the other side to use the connection no more.
func (n *Node) closeWhenStopping(w http.ResponseWriter) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// sayGone tells the neighbours that the process ends, so that they stop asking
// it for anything, and waits until they took it.
func (n *Node) sayGone(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastWordTimeout)
	defer cancel()
	farewell := make(chan membership.GossipRound, 1)
	n.post(ctx, func(_ context.Context, now time.Time) {
		n.table.Depart(now, membership.Gone)
		farewell <- n.table.DepartureGossip(now)
	})
	select {
	case news := <-farewell:
		n.tellAll(ctx, news)
	case <-ctx.Done():
	}
}

func (n *Node) tellAll(ctx context.Context, news membership.GossipRound) {
	message := port.Gossip{From: n.config.Self.ID, Records: news.Records}
	told := make(chan struct{}, len(news.To))
	for _, vm := range news.To {
		n.background.Go(func() {
			_ = n.ports.Peers.Send(ctx, vm, message)
			told <- struct{}{}
		})
	}
	for range news.To {
		<-told
	}
}
