package node

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

func (n *Node) manifestReply() (port.Message, error) {
	current := n.current.Load()
	if current == nil {
		return port.ManifestReply{}, nil
	}
	raw, err := current.Manifest().Encode()
	return port.ManifestReply{Manifest: raw}, err
}

// maxReplyBytes leaves room for the envelope of a reply that carries parts.
const maxReplyBytes = snapshot.MaxPartBytes

func (n *Node) partsReply(request port.PartsRequest) port.Message {
	current := n.current.Load()
	if current == nil {
		return port.PartsReply{}
	}
	var reply port.PartsReply
	size := 0
	for _, hash := range request.Hashes {
		raw, ok := current.Parts()[hash]
		if !ok {
			continue
		}
		if size += len(raw); size > maxReplyBytes && len(reply.Parts) > 0 {
			break
		}
		reply.Parts = append(reply.Parts, raw)
	}
	return reply
}

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
			n.apply(e.Snapshot)
		case distribution.Refuse:
			n.refuseVersion(e)
		}
	}
}

func (n *Node) apply(applied *snapshot.Snapshot) {
	n.current.Store(applied)
	n.gate.configure(admissionTerms(applied, n.config))
	n.ports.Meter.Count(port.MetricApplied, "", 1)
	manifest := applied.Manifest()
	n.ports.Log.Info().Str("version", applied.Version().String()).Str("root", applied.Root().Short()).Msg("version applied")
	n.audit(port.AuditEvent{
		Kind: port.AuditApplied, Version: applied.Version().String(), Root: applied.Root().String(),
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

func sourceName(source distribution.Source) string {
	return cmp.Or(string(source), "platform")
}

func (n *Node) announce(ctx context.Context, e distribution.Announce) {
	message := port.Announce{From: n.config.Self.ID, Version: e.Version, Root: e.Root}
	for _, vm := range n.view.Load().Peers {
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			// A lost announce is mended by the next heartbeat.
			_ = n.ports.Peers.Send(ctx, vm, message)
		})
	}
}

func (n *Node) peer(source distribution.Source) (membership.VM, bool) {
	for _, vm := range n.view.Load().Peers {
		if vm.ID == string(source) {
			return vm, true
		}
	}
	return membership.VM{}, false
}

func (n *Node) ask(ctx context.Context, source distribution.Source, message port.Message) (port.Message, error) {
	vm, ok := n.peer(source)
	if !ok {
		return nil, errors.Wrapf(port.ErrUnreachable, "peer %s is not known", source)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return n.ports.Peers.Ask(ctx, vm, message)
}

func (n *Node) fetchManifest(ctx context.Context, source distribution.Source) {
	answer, err := n.ask(ctx, source, port.ManifestRequest{From: n.config.Self.ID})
	if err != nil {
		return
	}
	if reply, ok := answer.(port.ManifestReply); ok && len(reply.Manifest) > 0 {
		n.manifestArrived(ctx, source, reply.Manifest)
	}
}

func (n *Node) manifestArrived(ctx context.Context, source distribution.Source, raw []byte) {
	manifest, err := snapshot.DecodeManifest(raw)
	if err != nil {
		n.ports.Log.Error().Err(err).Str("from", sourceName(source)).Msg("manifest can't be read")
		return
	}
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.perform(ctx, n.state.ManifestReceived(now, source, manifest))
	})
}

func (n *Node) fetchParts(ctx context.Context, source distribution.Source, hashes []snapshot.Hash) {
	parts, err := n.parts(ctx, source, hashes)
	n.post(ctx, func(ctx context.Context, now time.Time) {
		if err != nil || len(parts) == 0 {
			n.perform(ctx, n.state.FetchFailed(now, source))
			return
		}
		n.perform(ctx, n.state.PartsReceived(now, source, parts))
	})
}

func (n *Node) parts(ctx context.Context, source distribution.Source, hashes []snapshot.Hash) ([][]byte, error) {
	if source == distribution.Platform {
		return n.platformParts(ctx, hashes)
	}
	answer, err := n.ask(ctx, source, port.PartsRequest{From: n.config.Self.ID, Hashes: hashes})
	if err != nil {
		return nil, err
	}
	reply, ok := answer.(port.PartsReply)
	if !ok {
		return nil, errors.Wrap(port.ErrUnreachable, "peer is busy")
	}
	return reply.Parts, nil
}

func (n *Node) platformParts(ctx context.Context, hashes []snapshot.Hash) ([][]byte, error) {
	var parts [][]byte
	for _, hash := range hashes {
		raw, err := n.ports.Platform.Part(ctx, hash)
		if err != nil {
			return parts, err
		}
		parts = append(parts, raw)
	}
	return parts, nil
}
