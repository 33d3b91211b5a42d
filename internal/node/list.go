package node

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/wait"
)

// listPace is the mean time between two readings of the platform's list by
// anyone of a failure domain. The list of 1,600 VMs takes some 400 KB, and the
// platform's reads are shared by the fleet: each node reads the more seldom the
// more VMs its domain has, and gossip tells the others what it found.
const listPace = 1500 * time.Millisecond

// watchList reads the platform's list from time to time. The first reading
// waits a random time, and later ones half to one and a half times the
// interval: nodes that started together would else read together.
func (n *Node) watchList(ctx context.Context) {
	wait.Sleep(ctx, n.randomly(n.config.ReadPacing.StartDelay))
	failures := 0
	for ctx.Err() == nil {
		list, err := n.ports.Platform.VMs(ctx)
		if err != nil {
			n.listWasTried()
			failures++
			wait.Sleep(ctx, n.retryAfter(failures))
			continue
		}
		failures = 0
		n.post(ctx, func(_ context.Context, now time.Time) { n.takeList(now, list) })
		interval := n.listInterval()
		wait.Sleep(ctx, interval/2+time.Duration(n.pick(int(interval))))
	}
}

// takeList takes a list that was read. The place among the readers, and whether
// a fresh node may serve, depend on who is there: both are found anew, without
// the pause between views, before the first read of a manifest.
func (n *Node) takeList(now time.Time, list []membership.Record) {
	n.table.ListReceived(now, list)
	n.viewBuilt = time.Time{}
	n.publish(now)
	n.updateRank()
	n.listWasTried()
}

func (n *Node) listInterval() time.Duration {
	mates := 1
	for _, vm := range n.view.Load().Peers {
		if vm.FailureDomain == n.config.Self.FailureDomain {
			mates++
		}
	}
	return max(n.config.ListInterval, time.Duration(mates)*listPace)
}
