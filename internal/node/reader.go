package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/port"
)

// readPause is the wait after a failed read of the platform.
const readPause = time.Second

// isReader reports whether this node is among the domain's readers: those with
// the highest hashes of all live VMs that it sees. Nodes that see different
// VMs may disagree, which costs a read and never correctness.
func (n *Node) isReader() bool {
	ahead := 0
	own := xxhash.Sum64String(n.config.Self.ID)
	for _, vm := range n.view.Load().Peers {
		if vm.FailureDomain == n.config.Self.FailureDomain && xxhash.Sum64String(vm.ID) > own {
			ahead++
		}
	}
	return ahead < n.config.Readers
}

// startReading keeps one watch of the manifest open while this node is a
// reader.
func (n *Node) startReading(ctx context.Context) {
	if n.reading || !n.isReader() {
		return
	}
	n.reading = true
	n.background.Go(func() { n.read(ctx) })
}

func (n *Node) read(ctx context.Context) {
	defer n.post(ctx, func(context.Context, time.Time) { n.reading = false })
	value, err := n.ports.Platform.Manifest(ctx)
	for range watchesPerTurn {
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			n.manifestArrived(ctx, distribution.Platform, value.Content)
		case errors.Is(err, port.ErrUnchanged):
		default:
			n.ports.Log.Warn().Err(err).Msg("platform can't be read")
			sleep(ctx, readPause)
			return
		}
		after := value.Revision
		var next port.Value
		if next, err = n.ports.Platform.WatchManifest(ctx, after); err == nil {
			value = next
		}
	}
}

// watchesPerTurn is how many watches a reader makes before it looks again
// whether it still is one.
const watchesPerTurn = 4
