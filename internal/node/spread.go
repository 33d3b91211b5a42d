package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// perform carries out what the distribution state decided.
func (n *Node) perform(ctx context.Context, effects []distribution.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case distribution.FetchManifest:
			n.background.Go(func() { n.fetchManifest(ctx, e.From) })
		case distribution.FetchParts:
			n.background.Go(func() { n.fetchParts(ctx, e.From, e.Hashes) })
		case distribution.Announce:
			n.announce(ctx, e)
		case distribution.Apply:
			n.apply(e)
		case distribution.Refuse:
			n.refuseVersion(e)
		case distribution.Conflict:
			n.tellConflict(e)
		case distribution.Incomplete:
			n.tellIncomplete(e)
		}
	}
}

func (n *Node) apply(e distribution.Apply) {
	applied := e.Snapshot
	n.current.Store(applied)
	n.gate.Configure(admissionTerms(applied, n.config))
	n.ports.Meter.Count(port.MetricApplied, "", 1)
	manifest := applied.Manifest()
	n.ports.Log.Info().Str("version", applied.Version().String()).Str("root", applied.Root().Short()).Msg("version applied")
	n.audit(port.AuditEvent{
		Kind: port.AuditApplied, Version: applied.Version().String(), Root: applied.Root().String(), From: sourceName(e.From),
		PublishedBy: manifest.PublishedBy, PublishedAt: &manifest.PublishedAt,
	})
}

func (n *Node) refuseVersion(e distribution.Refuse) {
	n.ports.Meter.Count(port.MetricVersionRefused, "", 1)
	n.ports.Log.Error().Str("version", e.Version.String()).Int("findings", len(e.Findings)).Msg("version refused")
	n.audit(port.AuditEvent{
		Kind: port.AuditRefused, Version: e.Version.String(), Root: e.Root.String(),
		From: sourceName(e.From), Findings: e.Findings,
	})
}

func (n *Node) tellConflict(e distribution.Conflict) {
	n.ports.Meter.Count(port.MetricConflicts, "", 1)
	n.ports.Log.Error().Str("version", e.Version.String()).Str("finding", e.Findings.Error()).Msg("operators published over each other")
	n.audit(port.AuditEvent{
		Kind: port.AuditConflict, Version: e.Version.String(), Root: e.Root.String(),
		From: sourceName(e.From), Findings: e.Findings,
	})
}

func (n *Node) tellIncomplete(e distribution.Incomplete) {
	n.ports.Log.Error().Str("version", e.Version.String()).Str("finding", e.Findings.Error()).Msg("version lacks parts")
	n.audit(port.AuditEvent{
		Kind: port.AuditIncomplete, Version: e.Version.String(), Root: e.Root.String(),
		From: sourceName(distribution.Platform), Findings: e.Findings,
	})
}

func sourceName(source distribution.Source) string {
	return cmp.Or(string(source), "platform")
}

// announce tells the peers that distribution chose. A lost announce is mended
// by another path or by the next heartbeats.
func (n *Node) announce(ctx context.Context, e distribution.Announce) {
	message := port.Announce{From: n.config.Self.ID, Version: e.Version, Root: e.Root}
	audience := distribution.AnnouncePeers(n.config.Distribution, n.config.Self, liveVMs(n.view.Load()), e.Root, e.Origin)
	for _, vm := range audience {
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_ = n.ports.Peers.Send(ctx, vm, message)
		})
	}
}

// liveVMs lists the VMs that are live and can be reached, the node itself
// included.
func liveVMs(view *membership.View) []membership.VM {
	live := make([]membership.VM, 0, len(view.Records))
	for _, record := range view.Records {
		if record.State == membership.Live && !slices.Contains(view.Unreachable, record.VM.FailureDomain) {
			live = append(live, record.VM)
		}
	}
	return live
}

// announced takes a peer's word, given on purpose, that it has a version.
func (n *Node) announced(ctx context.Context, m port.Announce) {
	n.post(ctx, func(ctx context.Context, now time.Time) {
		claim := distribution.Claim{
			From: distribution.Source(m.From), Version: m.Version, Root: m.Root,
			Distance: distribution.OtherRegion, Announced: true,
		}
		if vm, ok := n.peer(claim.From); ok {
			claim.Distance = distribution.DistanceOf(n.config.Self, vm)
		}
		n.perform(ctx, n.state.VersionReported(now, claim))
	})
}

// claimOf is what a heartbeat says of its sender's version.
func (n *Node) claimOf(beat port.Heartbeat) distribution.Claim {
	return distribution.Claim{
		From: distribution.Source(beat.From.VM.ID), Version: beat.Version, Root: beat.Root,
		Distance: distribution.DistanceOf(n.config.Self, beat.From.VM),
	}
}

// Bounds on what a node gives to peers that pull: a few whole configurations
// at once, then a steady rate. A whole domain that reconnects to one node is
// told when to come back, and asks others meanwhile.
const (
	serveBytesPerSecond = 1 << 20
	serveBurst          = 4 << 20
)

// admitPull takes size bytes from the budget for pulls. It returns zero when
// there is room, and else when the peer should come back.
func (n *Node) admitPull(size int) time.Duration {
	now := n.ports.Clock.Now()
	reservation := n.served.ReserveN(now, size)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
		n.ports.Meter.Count(port.MetricPullsDeferred, "", 1)
	}
	return wait
}

func (n *Node) manifestReply() (port.Message, error) {
	current := n.current.Load()
	if current == nil {
		return port.ManifestReply{}, nil
	}
	raw, err := current.Manifest().Encode()
	if err != nil {
		return nil, err
	}
	if wait := n.admitPull(len(raw)); wait > 0 {
		return port.Busy{RetryAfter: wait}, nil
	}
	return port.ManifestReply{Manifest: raw}, nil
}

// maxReplyBytes leaves room for the envelope of a reply that carries parts.
const maxReplyBytes = snapshot.MaxPartBytes

func (n *Node) partsReply(request port.PartsRequest) (port.Message, error) {
	current := n.current.Load()
	if current == nil {
		return port.PartsReply{}, nil
	}
	var reply port.PartsReply
	size := 0
	for _, hash := range request.Hashes {
		raw, ok := current.Parts()[hash]
		if !ok {
			continue
		}
		if size+len(raw) > maxReplyBytes && len(reply.Parts) > 0 {
			break
		}
		size += len(raw)
		reply.Parts = append(reply.Parts, raw)
	}
	if wait := n.admitPull(size); wait > 0 {
		return port.Busy{RetryAfter: wait}, nil
	}
	return reply, nil
}
