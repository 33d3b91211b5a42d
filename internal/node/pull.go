package node

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/finding"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// busyError is a peer's reply that it has no capacity for a pull now.
type busyError struct{ retryAfter time.Duration }

// Error implements error.
func (e *busyError) Error() string { return fmt.Sprintf("peer is busy, retry after %s", e.retryAfter) }

func (n *Node) peer(source distribution.Source) (membership.VM, bool) {
	for _, vm := range n.view.Load().Peers {
		if vm.ID == string(source) {
			return vm, true
		}
	}
	return membership.VM{}, false
}

// requestPeer sends a pull request to a peer and returns the reply. If the peer
// is busy, it returns a busyError.
func (n *Node) requestPeer(ctx context.Context, source distribution.Source, message port.Message) (port.Message, error) {
	vm, ok := n.peer(source)
	if !ok {
		return nil, errors.Wrapf(port.ErrUnreachable, "unknown peer %s", source)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := n.ports.Peers.Request(ctx, vm, message)
	if busy, ok := response.(port.Busy); ok && err == nil {
		return nil, &busyError{retryAfter: busy.RetryAfter}
	}
	return response, err
}

// fetchFailed reports a failed pull to the distribution state, whatever the
// cause: otherwise the pull would wait for its timeout.
func (n *Node) fetchFailed(ctx context.Context, source distribution.Source, err error) {
	var busy *busyError
	var retryAfter time.Duration
	if errors.As(err, &busy) {
		retryAfter = busy.retryAfter
	}
	n.ports.Log.Debug().Err(err).Str("from", sourceName(source)).Msg("pull failed")
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.perform(ctx, n.state.FetchFailed(now, source, retryAfter))
	})
}

func (n *Node) fetchManifest(ctx context.Context, source distribution.Source) {
	raw, err := n.manifest(ctx, source)
	if err != nil {
		n.fetchFailed(ctx, source, err)
		return
	}
	n.manifestReceived(ctx, source, raw)
}

func (n *Node) manifest(ctx context.Context, source distribution.Source) ([]byte, error) {
	if source == distribution.Platform {
		value, err := n.ports.Platform.Manifest(ctx)
		return value.Content, err
	}
	response, err := n.requestPeer(ctx, source, port.ManifestRequest{From: n.config.Self.ID})
	if err != nil {
		return nil, err
	}
	reply, ok := response.(port.ManifestReply)
	if !ok || len(reply.Manifest) == 0 {
		return nil, errors.Wrap(port.ErrNotFound, "peer returned no manifest")
	}
	return reply.Manifest, nil
}

// manifestReceived passes a manifest to the distribution state. An undecodable
// one is recorded as a refused version, so that operators see it.
func (n *Node) manifestReceived(ctx context.Context, source distribution.Source, raw []byte) {
	manifest, err := snapshot.DecodeManifest(raw)
	if err != nil {
		n.refuseVersion(distribution.Refuse{From: source, Root: snapshot.HashOf(raw), Findings: finding.List{{
			Code: snapshot.CodePartCorrupt, File: "version", Key: "manifest", Problem: err.Error(),
			Hint: "publish the version again under a higher revision",
		}}})
		n.fetchFailed(ctx, source, err)
		return
	}
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.perform(ctx, n.state.ManifestReceived(now, source, manifest))
	})
}

func (n *Node) fetchParts(ctx context.Context, source distribution.Source, hashes []snapshot.Hash) {
	parts, err := n.parts(ctx, source, hashes)
	if len(parts) == 0 && err != nil {
		n.fetchFailed(ctx, source, err)
		return
	}
	n.post(ctx, func(ctx context.Context, now time.Time) {
		n.perform(ctx, n.state.PartsReceived(now, source, parts))
	})
}

// parts fetches as many of the parts as possible. It may return some parts
// together with an error: the missing ones are requested again.
func (n *Node) parts(ctx context.Context, source distribution.Source, hashes []snapshot.Hash) ([][]byte, error) {
	if source == distribution.Platform {
		return n.platformParts(ctx, hashes)
	}
	response, err := n.requestPeer(ctx, source, port.PartsRequest{From: n.config.Self.ID, Hashes: hashes})
	if err != nil {
		return nil, err
	}
	reply, ok := response.(port.PartsReply)
	if !ok {
		return nil, errors.Wrap(port.ErrNotFound, "peer returned no parts")
	}
	return reply.Parts, nil
}

// Bounds on one node's reads of parts from the platform: how many at a time, and
// the burst of the rate limit.
const (
	parallelPartReads = 8
	partBurst         = 16
)

func (n *Node) platformParts(ctx context.Context, hashes []snapshot.Hash) ([][]byte, error) {
	read := make([][]byte, len(hashes))
	var group errgroup.Group
	group.SetLimit(parallelPartReads)
	for i, hash := range hashes {
		group.Go(func() error {
			if err := n.partLimiter.Wait(ctx); err != nil {
				return err
			}
			raw, err := n.ports.Platform.Part(ctx, hash)
			read[i] = raw
			return err
		})
	}
	err := group.Wait()
	var parts [][]byte
	for _, raw := range read {
		if raw != nil {
			parts = append(parts, raw)
		}
	}
	return parts, err
}
