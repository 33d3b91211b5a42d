package node

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// drainPoll is how often a stopping node looks whether requests still run.
const drainPoll = 20 * time.Millisecond

// lastWordTimeout bounds the wait for peers to take the word that this process
// ends. Who misses it finds out by itself.
const lastWordTimeout = 500 * time.Millisecond

// Stop begins a planned stop: peers are told at once, new work is refused as
// not run, and the call returns when what runs has finished, ctx has ended or
// the drain time is over.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.audit(port.AuditEvent{Kind: port.AuditStopping})
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.table.Depart(now, membership.Departing)
		n.send(ctx, n.table.Farewell(now))
	})
	deadline := n.ports.Clock.Now().Add(n.config.Drain)
	for n.running.Load() > 0 && ctx.Err() == nil && n.ports.Clock.Now().Before(deadline) {
		sleep(ctx, drainPoll)
	}
	n.sayGone(ctx)
	n.audit(port.AuditEvent{Kind: port.AuditStopped})
}

// sayGone tells the neighbours that the process ends, so that they stop asking
// it for anything, and waits until they took it.
func (n *Node) sayGone(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastWordTimeout)
	defer cancel()
	farewell := make(chan membership.News, 1)
	n.post(ctx, func(_ context.Context, now time.Time) {
		n.table.Depart(now, membership.Gone)
		farewell <- n.table.Farewell(now)
	})
	select {
	case news := <-farewell:
		n.tellAll(ctx, news)
	case <-ctx.Done():
	}
}

func (n *Node) tellAll(ctx context.Context, news membership.News) {
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
