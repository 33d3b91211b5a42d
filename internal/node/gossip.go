package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// gossipDelay is the mean time between two gossip rounds while updates are
// pending. Updates that arrive within it share a message.
const gossipDelay = 100 * time.Millisecond

// armGossip sets the timer of the next round if updates are pending.
func (n *Node) armGossip() {
	if n.gossipArmed || !n.table.GossipPending() {
		return
	}
	n.gossipArmed = true
	n.gossipTimer.Reset(gossipDelay/2 + time.Duration(n.intN(int(gossipDelay))))
}

// sendGossip sends one gossip round.
func (n *Node) sendGossip(ctx context.Context, now time.Time) {
	n.gossipArmed = false
	n.send(ctx, n.table.Gossip(now))
}

// send sends a gossip round to its receivers without waiting. Lost messages are
// made up for by the rounds of other nodes and by anti-entropy.
func (n *Node) send(ctx context.Context, round membership.GossipRound) {
	if len(round.Records)+len(round.Marks) == 0 {
		return
	}
	message := port.Gossip{From: n.config.Self.ID, Records: round.Records, Marks: round.Marks}
	for _, vm := range round.To {
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_ = n.ports.Peers.Send(ctx, vm, message)
		})
	}
}

// handleMembership handles the messages of membership.
func (n *Node) handleMembership(ctx context.Context, message port.Message) (port.Message, error) {
	switch m := message.(type) {
	case port.Gossip:
		n.post(ctx, func(_ context.Context, now time.Time) { n.applyGossip(now, m) })
		return nil, nil
	case port.ProbeRequest:
		return port.ProbeReply{From: n.config.Self.ID, Reached: n.isMember(m.VM) && n.exchangeHeartbeat(ctx, m.VM)}, nil
	case port.SyncRequest:
		return n.syncReply(ctx, m)
	}
	return nil, errors.Errorf("no handler for message type %d", message.MessageType())
}

// isMember reports whether a VM is in the table exactly as given. Only members
// are probed on request: otherwise a peer's message could make this node connect
// to any address.
func (n *Node) isMember(vm membership.VM) bool {
	records := n.view.Load().Records
	i, ok := slices.BinarySearchFunc(records, vm.ID, func(r membership.Record, id string) int { return strings.Compare(r.VM.ID, id) })
	return ok && records[i].VM == vm
}

func (n *Node) applyGossip(now time.Time, gossip port.Gossip) {
	for _, record := range gossip.Records {
		n.table.RecordReceived(now, record)
	}
	n.table.MarksReceived(now, gossip.Marks)
}

// syncReply builds the reply on the control loop, which owns the table.
func (n *Node) syncReply(ctx context.Context, request port.SyncRequest) (port.Message, error) {
	replies := make(chan port.SyncReply, 1)
	n.post(ctx, func(context.Context, time.Time) {
		domains, records := n.table.DiffDigest(request.Digest)
		replies <- port.SyncReply{From: n.config.Self.ID, Domains: domains, Records: records}
	})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startSync exchanges records with a peer: the peer returns the records that
// differ, and this node sends back those of which it has a newer one.
func (n *Node) startSync(ctx context.Context, vm membership.VM) {
	request := port.SyncRequest{From: n.config.Self.ID, Digest: n.table.Digest()}
	n.background.Go(func() {
		reply, ok := n.requestSync(ctx, vm, request)
		n.post(ctx, func(ctx context.Context, now time.Time) {
			if !ok {
				n.table.SyncFailed()
				return
			}
			n.table.SyncReceived(now, reply.Records)
			n.endRefresh()
			n.sendNewer(ctx, vm, reply)
		})
	})
}

// sendNewer sends a peer the records of which this node has a newer one, in
// messages of bounded size.
func (n *Node) sendNewer(ctx context.Context, vm membership.VM, reply port.SyncReply) {
	newer := n.table.NewerRecords(reply.Domains, reply.Records)
	for len(newer) > 0 {
		count := min(len(newer), maxSyncRecords)
		n.send(ctx, membership.GossipRound{To: []membership.VM{vm}, Records: newer[:count]})
		newer = newer[count:]
	}
}

// maxSyncRecords bounds the records in one message of a sync.
const maxSyncRecords = 128

func (n *Node) requestSync(ctx context.Context, vm membership.VM, request port.SyncRequest) (port.SyncReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := n.ports.Peers.Request(ctx, vm, request)
	if err != nil {
		return port.SyncReply{}, false
	}
	reply, ok := response.(port.SyncReply)
	return reply, ok
}
