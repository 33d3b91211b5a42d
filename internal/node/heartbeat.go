package node

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// minProbeTimeout is the shortest timeout of a probe. It is well above the round
// trip between regions, because a busy process replies late.
const minProbeTimeout = 500 * time.Millisecond

// probeTimeout bounds one direct probe.
func (n *Node) probeTimeout() time.Duration { return max(n.config.Heartbeat/2, minProbeTimeout) }

// heartbeatState is the content of heartbeats, as the control loop last
// published it.
type heartbeatState struct {
	heartbeat port.Heartbeat
	at        time.Time
}

func (n *Node) newHeartbeatState(now time.Time) heartbeatState {
	heartbeat := port.Heartbeat{From: n.table.Self(), Version: n.state.AppliedVersion(), Contacts: n.table.Contacts(now)}
	if applied := n.state.Applied(); applied != nil {
		heartbeat.Root = applied.Root()
	}
	return heartbeatState{heartbeat: heartbeat, at: now}
}

// heartbeat returns the heartbeat for a peer in the given failure domain. The
// time since publication is added to the age of each contact: if ages did not
// grow while nodes exchange them, a lost domain would count as reachable forever.
func (n *Node) heartbeat(failureDomain string) port.Heartbeat {
	last := n.status.Load().heartbeat
	heartbeat := last.heartbeat
	heartbeat.Contacts = nil
	if failureDomain != n.config.Self.FailureDomain {
		return heartbeat
	}
	elapsed := uint32(max(0, n.ports.Clock.Now().Sub(last.at).Milliseconds()))
	for _, contact := range last.heartbeat.Contacts {
		contact.AgeMillis += elapsed
		heartbeat.Contacts = append(heartbeat.Contacts, contact)
	}
	return heartbeat
}

// runDetector runs the failure detector for one tick.
func (n *Node) runDetector(ctx context.Context, now time.Time) {
	probes := n.table.Tick(now)
	if len(n.view.Load().Peers) == 0 {
		probes = append(probes, n.seedProbes()...)
	}
	for _, probe := range probes {
		n.background.Go(func() { n.probe(ctx, probe) })
	}
	if vm, ok := n.table.SyncPeer(now); ok {
		n.startSync(ctx, vm)
	}
}

// seedProbes returns probes of the configured seeds, for use while no peer is
// known.
func (n *Node) seedProbes() []membership.Probe {
	var probes []membership.Probe
	for _, address := range n.config.Seeds {
		if address != n.config.Self.PeerAddress {
			probes = append(probes, membership.Probe{VM: membership.VM{PeerAddress: address}, NoSuspicion: true})
		}
	}
	return probes
}

// probe sends a liveness probe to a VM. If it fails, helper nodes probe the VM
// in this node's place.
func (n *Node) probe(ctx context.Context, probe membership.Probe) {
	if n.exchangeHeartbeat(ctx, probe.VM) {
		return
	}
	n.post(ctx, func(ctx context.Context, now time.Time) {
		if helpers, indirect := n.table.ProbeFailed(now, probe); indirect {
			n.background.Go(func() { n.probeIndirectly(ctx, probe, helpers) })
		}
	})
}

// exchangeHeartbeat sends a heartbeat, records the peer's own from the reply,
// and reports whether the reply came from the probed VM. If another VM has taken
// over the address, its heartbeat is recorded, but is no evidence that the probed
// VM is alive.
func (n *Node) exchangeHeartbeat(ctx context.Context, vm membership.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, n.probeTimeout())
	defer cancel()
	response, err := n.ports.Peers.Request(ctx, vm, n.heartbeat(vm.FailureDomain))
	if err != nil {
		return false
	}
	reply, ok := response.(port.Heartbeat)
	if !ok {
		return false
	}
	n.heartbeatReceived(ctx, reply)
	return reply.From.VM.ID == vm.ID
}

// probeIndirectly requests a probe from all helpers at once and passes their
// combined result to the failure detector.
func (n *Node) probeIndirectly(ctx context.Context, probe membership.Probe, helpers []membership.VM) {
	replies := make(chan *port.ProbeReply, len(helpers))
	for _, helper := range helpers {
		n.background.Go(func() { replies <- n.requestProbe(ctx, helper, probe.VM) })
	}
	result := membership.IndirectProbeResult{Asked: len(helpers)}
	for range helpers {
		if reply := <-replies; reply != nil {
			result.Answered++
			result.Reached = result.Reached || reply.Reached
		}
	}
	n.post(ctx, func(_ context.Context, now time.Time) { n.table.IndirectProbeDone(now, probe, result) })
}

// requestProbe returns nil if the helper itself didn't reply.
func (n *Node) requestProbe(ctx context.Context, helper, vm membership.VM) *port.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, 2*n.probeTimeout())
	defer cancel()
	response, err := n.ports.Peers.Request(ctx, helper, port.ProbeRequest{From: n.config.Self.ID, VM: vm})
	if err != nil {
		return nil
	}
	if reply, ok := response.(port.ProbeReply); ok {
		return &reply
	}
	return nil
}

// heartbeatReceived handles a heartbeat. The arrival time is taken here and not
// on the control loop, because the ages in the heartbeat count from its arrival.
func (n *Node) heartbeatReceived(ctx context.Context, heartbeat port.Heartbeat) {
	arrived := n.ports.Clock.Now()
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.recordSender(ctx, now, heartbeat.From)
		n.table.ContactsReceived(arrived, heartbeat.From.VM, heartbeat.Contacts)
		for _, record := range heartbeat.Others {
			n.table.RecordReceived(now, record)
		}
		n.perform(ctx, n.state.VersionReported(now, n.claimFrom(heartbeat)))
	})
}

// recordSender handles the record that a VM sent about itself. If this node has
// a newer record of the VM, it sends that to the VM, so that the VM can refute
// it if it is wrong.
func (n *Node) recordSender(ctx context.Context, now time.Time, from membership.Record) {
	n.table.RecordReceived(now, from)
	returned := n.table.ContactMade(now, from.VM)
	if known, ok := n.table.NewerRecord(from); ok {
		n.send(ctx, membership.GossipRound{To: []membership.VM{from.VM}, Records: []membership.Record{known}})
	}
	if from.VM.ID != n.config.Self.ID && (n.table.InitialSyncDue(now) || returned) {
		n.startSync(ctx, from.VM)
	}
}
