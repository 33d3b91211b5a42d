package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/port"
	"tamarackquay/internal/wait"
)

const (
	// readRetry is the bound of the pause after a first failed read of the
	// platform; it doubles up to readRetryMax.
	readRetry    = time.Second
	readRetryMax = 10 * time.Second
	// readerStep is how often a node that is no reader looks whether it has
	// become one.
	readerStep = time.Second
)

// updateRank finds the node's place in the order of readers. It sorts the
// region's VMs, which at 1,600 is too dear to do when nothing changed.
func (n *Node) updateRank() {
	view := n.view.Load()
	if view == n.rankedView {
		return
	}
	n.rankedView = view
	n.rank.Store(int64(distribution.ReaderRank(n.config.Self, liveVMs(view))))
}

// isReader reports whether this node is among its region's readers. Nodes that
// see different VMs may disagree, which costs a read and never correctness.
func (n *Node) isReader() bool {
	return int(n.rank.Load()) < n.config.ReadPacing.Readers && n.settled()
}

// settleHold bounds how long a fresh process waits to hear the VMs that the
// list names: many of them may be gone.
const settleHold = 5 * time.Second

// settledShare is how many VMs a settled node has heard for each that the list
// names and it has not heard.
const settledShare = 8

// settled reports whether the node has heard almost all VMs of the list. When a
// whole fleet restarts, each node hears nobody at first and would take itself
// for the only reader: 1,600 of them would read every part.
func (n *Node) settled() bool {
	view := n.view.Load()
	if settledShare*view.Unconfirmed <= len(view.Peers)+1 {
		return true
	}
	return n.ports.Clock.Now().Sub(n.started) > settleHold+n.config.ReadPacing.StartSpread
}

// randomly draws a time from the node's random numbers.
func (n *Node) randomly(draw func(*rand.Rand) time.Duration) time.Duration {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return draw(n.random)
}

// probeAfter is the pause between two reads of a node that is no reader.
func (n *Node) probeAfter() time.Duration {
	live := len(liveVMs(n.view.Load()))
	return n.randomly(func(r *rand.Rand) time.Duration { return n.config.ReadPacing.ProbeDelay(r, live) })
}

func (n *Node) listWasTried() { n.listTriedBy.Do(func() { close(n.listTried) }) }

func (n *Node) retryAfter(failures int) time.Duration {
	return n.randomly(func(r *rand.Rand) time.Duration {
		return distribution.Backoff(r, readRetry, readRetryMax, failures)
	})
}

// manifestReader reads the manifest for one node. One goroutine owns it.
type manifestReader struct {
	node     *Node
	revision uint64
	failures int
	probeAt  time.Time
}

// readPlatform reads the manifest while the node runs: by a watch as long as
// it is a reader, by a rare probe otherwise.
func (n *Node) readPlatform(ctx context.Context) {
	select {
	case <-n.listTried:
	case <-ctx.Done():
		return
	}
	// The first probe falls anywhere in the interval, so that a fleet that
	// started together probes at its pace from the start.
	first := n.probeAfter()
	first = n.randomly(func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(first))) })
	r := &manifestReader{node: n, probeAt: n.ports.Clock.Now().Add(first)}
	for ctx.Err() == nil {
		switch {
		case n.isReader():
			r.watch(ctx)
		case !n.ports.Clock.Now().Before(r.probeAt):
			r.read(ctx)
			r.probeAt = n.ports.Clock.Now().Add(n.probeAfter())
		default:
			wait.Sleep(ctx, readerStep)
		}
	}
}

// watch waits once for news. A wait that ended without any is followed by a
// plain read: a platform restored from an older copy counts its revisions from
// lower again, and a watch for the old number would never end.
func (r *manifestReader) watch(ctx context.Context) {
	if r.revision == 0 {
		r.read(ctx)
		return
	}
	value, err := r.node.ports.Platform.WatchManifest(ctx, r.revision)
	if errors.Is(err, port.ErrUnchanged) {
		r.read(ctx)
		return
	}
	r.took(ctx, value, err)
}

func (r *manifestReader) read(ctx context.Context) {
	value, err := r.node.ports.Platform.Manifest(ctx)
	r.took(ctx, value, err)
}

// took hands on what was read; after a failure it waits.
func (r *manifestReader) took(ctx context.Context, value port.Value, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failures++
		r.revision = 0
		r.node.ports.Log.Debug().Err(err).Msg("manifest can't be read")
		wait.Sleep(ctx, r.node.retryAfter(r.failures))
		return
	}
	r.failures = 0
	changed := r.revision != value.Revision
	r.revision = value.Revision
	if changed {
		r.node.manifestArrived(ctx, distribution.Platform, value.Content)
	}
}
