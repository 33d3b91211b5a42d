package node

import (
	"context"
	"time"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/snapshot"
)

// overhearPause is the shortest time between two versions that are taken from
// calls: a node that is behind gets hundreds of calls a second, and all say the
// same.
const overhearPause = 100 * time.Millisecond

// overheard takes the version that a peer's forwarded call carries. It costs no
// byte, since calls carry it anyway, and mends lost announces sooner than the
// next heartbeat; docs/design/distribution.md has the measurement. Callers'
// requests never come here. It never blocks: the call goes on whatever becomes
// of it.
func (n *Node) overheard(entry string, version snapshot.Version) {
	current := n.current.Load()
	if current == nil || !version.NewerThan(current.Version()) {
		return
	}
	now := n.ports.Clock.Now().UnixNano()
	last := n.overheardAt.Load()
	if now-last < int64(overhearPause) || !n.overheardAt.CompareAndSwap(last, now) {
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
