package node

import (
	"context"
	"time"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/snapshot"
)

// callVersionInterval is the shortest time between two versions that are taken
// from calls: a node with an old version gets hundreds of calls a second, all
// with the same newer version.
const callVersionInterval = 100 * time.Millisecond

// noteCallVersion handles the version in a call that a peer forwarded. It needs
// no further bytes, since calls carry the version anyway, and makes up for a lost
// announce sooner than the next heartbeat does; docs/design/distribution.md has
// the measurement. It is never called for callers' requests. It never blocks: if
// the event queue is full, the version is ignored and the call proceeds.
func (n *Node) noteCallVersion(entry string, version snapshot.Version) {
	current := n.current.Load()
	if current == nil || !version.NewerThan(current.Version()) {
		return
	}
	now := n.ports.Clock.Now().UnixNano()
	last := n.callVersionAt.Load()
	if now-last < int64(callVersionInterval) || !n.callVersionAt.CompareAndSwap(last, now) {
		return
	}
	vm, ok := n.peer(distribution.Source(entry))
	if !ok {
		return
	}
	claim := distribution.Claim{
		From: distribution.Source(entry), Version: version, Distance: distribution.DistanceOf(n.config.Self, vm),
	}
	select {
	case n.events <- func(ctx context.Context, now time.Time) {
		n.perform(ctx, n.state.VersionReported(now, claim))
	}:
	default:
	}
}
