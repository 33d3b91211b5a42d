package node

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/wait"
)

// domainListInterval is the mean time between two reads of the platform's list
// by all nodes of a failure domain together. The list of 1,600 VMs is about
// 400 KB, and the whole fleet shares the platform's read capacity: the more VMs
// a domain has, the less often each of its nodes reads, and gossip spreads the
// changes that it finds.
const domainListInterval = 1500 * time.Millisecond

// pollList reads the platform's list periodically. It waits a random time before
// the first read, and half to one and a half times the interval before later
// ones; otherwise nodes that started together would read together.
func (n *Node) pollList(ctx context.Context) {
	wait.Sleep(ctx, n.randomDuration(n.config.ReadPacing.StartDelay))
	failures := 0
	for ctx.Err() == nil {
		list, err := n.ports.Platform.VMs(ctx)
		if err != nil {
			n.markListAttempted()
			failures++
			wait.Sleep(ctx, n.readBackoff(failures))
			continue
		}
		failures = 0
		n.post(ctx, func(_ context.Context, now time.Time) { n.listReceived(now, list) })
		interval := n.listInterval()
		wait.Sleep(ctx, interval/2+time.Duration(n.intN(int(interval))))
	}
}

// listReceived handles a list from the platform. The node's rank among the
// readers, and whether a new node may serve, depend on the members: both are
// recomputed before the first read of a manifest, without the minimum interval
// between views.
func (n *Node) listReceived(now time.Time, list []membership.Record) {
	n.table.ListReceived(now, list)
	n.viewBuilt = time.Time{}
	n.publish(now)
	n.updateRank()
	n.markListAttempted()
}

func (n *Node) listInterval() time.Duration {
	vms := 1
	for _, vm := range n.view.Load().Peers {
		if vm.FailureDomain == n.config.Self.FailureDomain {
			vms++
		}
	}
	return max(n.config.ListInterval, time.Duration(vms)*domainListInterval)
}
