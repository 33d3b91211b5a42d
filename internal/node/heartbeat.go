package node

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// minProbeTimeout is the shortest wait for the answer to a probe. It lies well
// above the round trip between regions, and a busy process needs some of it.
const minProbeTimeout = 500 * time.Millisecond

// probeTimeout bounds one direct probe.
func (n *Node) probeTimeout() time.Duration { return max(n.config.Heartbeat/2, minProbeTimeout) }

// pulse is what a heartbeat carries, as the control loop last published it.
type pulse struct {
	beat port.Heartbeat
	at   time.Time
}

func (n *Node) newPulse(now time.Time) pulse {
	beat := port.Heartbeat{From: n.table.Self(), Version: n.state.AppliedVersion(), Contacts: n.table.Contacts(now)}
	if applied := n.state.Applied(); applied != nil {
		beat.Root = applied.Root()
	}
	return pulse{beat: beat, at: now}
}

// heartbeat returns the heartbeat for a peer of that failure domain. The age of
// contacts grows with the time since they were published: ages that stood still
// would, handed around, keep a lost domain reachable for ever.
func (n *Node) heartbeat(failureDomain string) port.Heartbeat {
	p := n.status.Load().pulse
	beat := p.beat
	beat.Contacts = nil
	if failureDomain != n.config.Self.FailureDomain {
		return beat
	}
	waited := uint32(max(0, n.ports.Clock.Now().Sub(p.at).Milliseconds()))
	for _, contact := range p.beat.Contacts {
		contact.AgeMillis += waited
		beat.Contacts = append(beat.Contacts, contact)
	}
	return beat
}

// detect runs the failure detector for one tick.
func (n *Node) detect(ctx context.Context, now time.Time) {
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

// seedProbes tries the seeds of the settings while no peer is known.
func (n *Node) seedProbes() []membership.Probe {
	var probes []membership.Probe
	for _, address := range n.config.Seeds {
		if address != n.config.Self.PeerAddress {
			probes = append(probes, membership.Probe{VM: membership.VM{PeerAddress: address}, NoSuspicion: true})
		}
	}
	return probes
}

// probe asks a VM for a sign of life. If none comes, helpers try in this node's
// place.
func (n *Node) probe(ctx context.Context, probe membership.Probe) {
	if n.exchange(ctx, probe.VM) {
		return
	}
	n.post(ctx, func(ctx context.Context, now time.Time) {
		if helpers, judge := n.table.ProbeFailed(now, probe); judge {
			n.background.Go(func() { n.askHelpers(ctx, probe, helpers) })
		}
	})
}

// exchange sends a heartbeat, takes the peer's own in answer, and reports
// whether it came from the VM that was asked. Whoever was put in the VM's place
// at its address is heard, but is no sign of the VM's life.
func (n *Node) exchange(ctx context.Context, vm membership.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, n.probeTimeout())
	defer cancel()
	answer, err := n.ports.Peers.Request(ctx, vm, n.heartbeat(vm.FailureDomain))
	if err != nil {
		return false
	}
	reply, ok := answer.(port.Heartbeat)
	if !ok {
		return false
	}
	n.heard(ctx, reply)
	return reply.From.VM.ID == vm.ID
}

// askHelpers asks all helpers at once and judges by what they found.
func (n *Node) askHelpers(ctx context.Context, probe membership.Probe, helpers []membership.VM) {
	answers := make(chan *port.ProbeReply, len(helpers))
	for _, helper := range helpers {
		n.background.Go(func() { answers <- n.askHelper(ctx, helper, probe.VM) })
	}
	verdict := membership.IndirectProbeResult{Asked: len(helpers)}
	for range helpers {
		if reply := <-answers; reply != nil {
			verdict.Answered++
			verdict.Reached = verdict.Reached || reply.Reached
		}
	}
	n.post(ctx, func(_ context.Context, now time.Time) { n.table.IndirectProbeDone(now, probe, verdict) })
}

// askHelper returns nil when the helper itself gave no answer.
func (n *Node) askHelper(ctx context.Context, helper, vm membership.VM) *port.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, 2*n.probeTimeout())
	defer cancel()
	answer, err := n.ports.Peers.Request(ctx, helper, port.ProbeRequest{From: n.config.Self.ID, VM: vm})
	if err != nil {
		return nil
	}
	if reply, ok := answer.(port.ProbeReply); ok {
		return &reply
	}
	return nil
}

// heard takes a heartbeat. The time is taken here and not in the control loop:
// the ages that the heartbeat carries count from its arrival.
func (n *Node) heard(ctx context.Context, beat port.Heartbeat) {
	arrived := n.ports.Clock.Now()
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.meet(ctx, now, beat.From)
		n.table.ContactsReceived(arrived, beat.From.VM, beat.Contacts)
		for _, record := range beat.Others {
			n.table.RecordReceived(now, record)
		}
		n.perform(ctx, n.state.VersionReported(now, n.claimOf(beat)))
	})
}

// meet takes the record of a VM that spoke for itself. If peers hold a later
// word about it, it is told, so that it can refute what is wrong.
func (n *Node) meet(ctx context.Context, now time.Time, from membership.Record) {
	n.table.RecordReceived(now, from)
	returned := n.table.ContactMade(now, from.VM)
	if known, ok := n.table.NewerRecord(from); ok {
		n.send(ctx, membership.GossipRound{To: []membership.VM{from.VM}, Records: []membership.Record{known}})
	}
	if from.VM.ID != n.config.Self.ID && (n.table.InitialSyncDue(now) || returned) {
		n.startSync(ctx, from.VM)
	}
}
