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

// gossipDelay is the time between two gossip rounds while there is news. News
// that comes within it shares a message.
const gossipDelay = 100 * time.Millisecond

// armGossip sets the timer of the next round when there is news to send.
func (n *Node) armGossip() {
	if n.gossipArmed || !n.table.GossipPending() {
		return
	}
	n.gossipArmed = true
	n.gossip.Reset(gossipDelay/2 + time.Duration(n.pick(int(gossipDelay))))
}

// spreadNews sends one gossip round.
func (n *Node) spreadNews(ctx context.Context, now time.Time) {
	n.gossipArmed = false
	n.send(ctx, n.table.Gossip(now))
}

// send sends news to its receivers without waiting. What is lost is mended by
// the rounds of others and by anti-entropy.
func (n *Node) send(ctx context.Context, news membership.GossipRound) {
	if len(news.Records)+len(news.Marks) == 0 {
		return
	}
	message := port.Gossip{From: n.config.Self.ID, Records: news.Records, Marks: news.Marks}
	for _, vm := range news.To {
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_ = n.ports.Peers.Send(ctx, vm, message)
		})
	}
}

// handleMember answers the messages of membership.
func (n *Node) handleMember(ctx context.Context, message port.Message) (port.Message, error) {
	switch m := message.(type) {
	case port.Gossip:
		n.post(ctx, func(_ context.Context, now time.Time) { n.takeNews(now, m) })
		return nil, nil
	case port.ProbeRequest:
		return port.ProbeReply{From: n.config.Self.ID, Reached: n.knows(m.VM) && n.exchange(ctx, m.VM)}, nil
	case port.SyncRequest:
		return n.syncReply(ctx, m)
	}
	return nil, errors.Errorf("no handler for message type %d", message.MessageType())
}

// knows reports whether a VM stands in the table as given. A peer's word alone
// must not make this node connect to any address.
func (n *Node) knows(vm membership.VM) bool {
	records := n.view.Load().Records
	i, ok := slices.BinarySearchFunc(records, vm.ID, func(r membership.Record, id string) int { return strings.Compare(r.VM.ID, id) })
	return ok && records[i].VM == vm
}

func (n *Node) takeNews(now time.Time, news port.Gossip) {
	for _, record := range news.Records {
		n.table.RecordReceived(now, record)
	}
	n.table.MarksReceived(now, news.Marks)
}

// syncReply lets the control loop, which owns the table, make the answer.
func (n *Node) syncReply(ctx context.Context, request port.SyncRequest) (port.Message, error) {
	made := make(chan port.SyncReply, 1)
	n.post(ctx, func(context.Context, time.Time) {
		domains, records := n.table.DiffDigest(request.Digest)
		made <- port.SyncReply{From: n.config.Self.ID, Domains: domains, Records: records}
	})
	select {
	case reply := <-made:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startSync exchanges records with a peer: what differs comes over, and what
// this node knows better goes back.
func (n *Node) startSync(ctx context.Context, vm membership.VM) {
	request := port.SyncRequest{From: n.config.Self.ID, Digest: n.table.Digest()}
	n.background.Go(func() {
		reply, ok := n.askSync(ctx, vm, request)
		n.post(ctx, func(ctx context.Context, now time.Time) {
			if !ok {
				n.table.SyncFailed()
				return
			}
			n.table.SyncReceived(now, reply.Records)
			n.trust()
			n.tellBack(ctx, vm, reply)
		})
	})
}

// tellBack sends a peer what this node knows better, in messages of bounded
// size.
func (n *Node) tellBack(ctx context.Context, vm membership.VM, reply port.SyncReply) {
	newer := n.table.NewerRecords(reply.Domains, reply.Records)
	for len(newer) > 0 {
		count := min(len(newer), maxToldBack)
		n.send(ctx, membership.GossipRound{To: []membership.VM{vm}, Records: newer[:count]})
		newer = newer[count:]
	}
}

// maxToldBack bounds the records in one message of an exchange.
const maxToldBack = 128

func (n *Node) askSync(ctx context.Context, vm membership.VM, request port.SyncRequest) (port.SyncReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.ports.Peers.Request(ctx, vm, request)
	if err != nil {
		return port.SyncReply{}, false
	}
	reply, ok := answer.(port.SyncReply)
	return reply, ok
}
