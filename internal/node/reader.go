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
	// minReadBackoff is the upper bound of the backoff after the first failed
	// read of the platform; it doubles up to maxReadBackoff.
	minReadBackoff = time.Second
	maxReadBackoff = 10 * time.Second
	// readerCheckInterval is how often a node that isn't a reader checks whether it
	// has become one.
	readerCheckInterval = time.Second
)

// updateRank computes the node's position in the order of readers. It sorts the
// region's VMs, which for 1,600 is too expensive if nothing changed.
func (n *Node) updateRank() {
	view := n.view.Load()
	if view == n.rankedView {
		return
	}
	n.rankedView = view
	n.rank.Store(int64(distribution.ReaderRank(n.config.Self, liveVMs(view))))
}

// isReader reports whether this node is among its region's readers. Nodes with
// different views may disagree. This costs additional reads, but does not affect
// correctness.
func (n *Node) isReader() bool {
	return int(n.rank.Load()) < n.config.ReadPacing.Readers && n.settled()
}

// settleTimeout bounds how long a new process waits for a contact with the VMs
// of the platform's list: many of them may no longer exist.
const settleTimeout = 5 * time.Second

// settledRatio is the smallest ratio of confirmed to unconfirmed VMs at which a node
// is settled. Unconfirmed VMs are known from the platform's list only.
const settledRatio = 8

// settled reports whether almost all VMs of the list are confirmed. When a whole
// fleet restarts, each node has no confirmed peers at first and would compute
// that it is the only reader: 1,600 nodes would read every part.
func (n *Node) settled() bool {
	view := n.view.Load()
	if settledRatio*view.Unconfirmed <= len(view.Peers)+1 {
		return true
	}
	return n.ports.Clock.Now().Sub(n.started) > settleTimeout+n.config.ReadPacing.StartSpread
}

// randomDuration calls draw with the node's random source.
func (n *Node) randomDuration(draw func(*rand.Rand) time.Duration) time.Duration {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return draw(n.random)
}

// probeDelay returns the time between two reads of a node that isn't a reader.
func (n *Node) probeDelay() time.Duration {
	live := len(liveVMs(n.view.Load()))
	return n.randomDuration(func(r *rand.Rand) time.Duration { return n.config.ReadPacing.ProbeDelay(r, live) })
}

func (n *Node) markListAttempted() { n.listAttemptOnce.Do(func() { close(n.listAttempted) }) }

func (n *Node) readBackoff(failures int) time.Duration {
	return n.randomDuration(func(r *rand.Rand) time.Duration {
		return distribution.Backoff(r, minReadBackoff, maxReadBackoff, failures)
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
// the node is a reader, by an infrequent probe otherwise.
func (n *Node) readPlatform(ctx context.Context) {
	select {
	case <-n.listAttempted:
	case <-ctx.Done():
		return
	}
	// The first probe is at a random time in the interval, so that a fleet that
	// started together probes at its normal rate from the start.
	delay := n.probeDelay()
	delay = n.randomDuration(func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(delay))) })
	r := &manifestReader{node: n, probeAt: n.ports.Clock.Now().Add(delay)}
	for ctx.Err() == nil {
		switch {
		case n.isReader():
			r.watch(ctx)
		case !n.ports.Clock.Now().Before(r.probeAt):
			r.read(ctx)
			r.probeAt = n.ports.Clock.Now().Add(n.probeDelay())
		default:
			wait.Sleep(ctx, readerCheckInterval)
		}
	}
}

// watch waits once for a change. If the wait ends without one, it reads the
// manifest: a platform that was restored from an older copy restarts at a lower
// revision, and a watch for the old revision would never end.
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
	r.readDone(ctx, value, err)
}

func (r *manifestReader) read(ctx context.Context) {
	value, err := r.node.ports.Platform.Manifest(ctx)
	r.readDone(ctx, value, err)
}

// readDone passes on a changed manifest; after a failed read it waits for the
// backoff.
func (r *manifestReader) readDone(ctx context.Context, value port.Value, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failures++
		r.revision = 0
		r.node.ports.Log.Debug().Err(err).Msg("failed to read manifest")
		wait.Sleep(ctx, r.node.readBackoff(r.failures))
		return
	}
	r.failures = 0
	changed := r.revision != value.Revision
	r.revision = value.Revision
	if changed {
		r.node.manifestReceived(ctx, distribution.Platform, value.Content)
	}
}
