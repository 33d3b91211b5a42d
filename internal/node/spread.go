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

// perform executes the effects that the distribution state returned.
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
			n.reportConflict(e)
		case distribution.Incomplete:
			n.reportIncomplete(e)
		}
	}
}

func (n *Node) apply(e distribution.Apply) {
	applied := e.Snapshot
	n.current.Store(applied)
	n.gate.Configure(newTerms(applied, n.config))
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

func (n *Node) reportConflict(e distribution.Conflict) {
	n.ports.Meter.Count(port.MetricConflicts, "", 1)
	n.ports.Log.Error().Str("version", e.Version.String()).Str("finding", e.Findings.Error()).Msg("operators published over each other")
	n.audit(port.AuditEvent{
		Kind: port.AuditConflict, Version: e.Version.String(), Root: e.Root.String(),
		From: sourceName(e.From), Findings: e.Findings,
	})
}

func (n *Node) reportIncomplete(e distribution.Incomplete) {
	n.ports.Log.Error().Str("version", e.Version.String()).Str("finding", e.Findings.Error()).Msg("version incomplete, parts missing")
	n.audit(port.AuditEvent{
		Kind: port.AuditIncomplete, Version: e.Version.String(), Root: e.Root.String(),
		From: sourceName(distribution.Platform), Findings: e.Findings,
	})
}

func sourceName(source distribution.Source) string {
	return cmp.Or(string(source), "platform")
}

// announce sends an announce to the peers that distribution selects. If one is
// lost, the peer gets the version on another path or by the next heartbeats.
func (n *Node) announce(ctx context.Context, e distribution.Announce) {
	message := port.Announce{From: n.config.Self.ID, Version: e.Version, Root: e.Root}
	peers := distribution.AnnouncePeers(n.config.Distribution, n.config.Self, liveVMs(n.view.Load()), e.Root, e.Origin)
	for _, vm := range peers {
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_ = n.ports.Peers.Send(ctx, vm, message)
		})
	}
}

// liveVMs returns the VMs that are live and reachable, including the node
// itself.
func liveVMs(view *membership.View) []membership.VM {
	live := make([]membership.VM, 0, len(view.Records))
	for _, record := range view.Records {
		if record.State == membership.Live && !slices.Contains(view.Unreachable, record.VM.FailureDomain) {
			live = append(live, record.VM)
		}
	}
	return live
}

// announceReceived handles a peer's announce of a version.
func (n *Node) announceReceived(ctx context.Context, m port.Announce) {
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

// claimFrom returns the version that the sender of a heartbeat reports.
func (n *Node) claimFrom(heartbeat port.Heartbeat) distribution.Claim {
	return distribution.Claim{
		From: distribution.Source(heartbeat.From.VM.ID), Version: heartbeat.Version, Root: heartbeat.Root,
		Distance: distribution.DistanceOf(n.config.Self, heartbeat.From.VM),
	}
}

// Limits on the bytes that a node sends to peers that pull: a burst of a few
// full configurations, then a steady rate. If a whole domain reconnects to one
// node, the node returns a retry time, and the peers pull from others meanwhile.
const (
	serveBytesPerSecond = 1 << 20
	serveBurst          = 4 << 20
)

// admitPull takes size bytes from the rate limit for pulls. It returns zero if
// they are available, otherwise the time after which the peer should retry.
func (n *Node) admitPull(size int) time.Duration {
	now := n.ports.Clock.Now()
	reservation := n.pullLimiter.ReserveN(now, size)
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

// maxReplyBytes bounds the parts in one reply and leaves space for the reply's
// envelope.
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
