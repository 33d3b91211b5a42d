package follow

import (
	"context"
	"net"
	"slices"
	"time"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/mesh"
)

// readers is the number of readers per region: the active one and the first standby.
const readers = 2

// fanout bounds the feeds that a node serves. Without it, a reader in a region of some
// hundred nodes sent each change over its link that many times, and spent its CPU time on
// heartbeats.
var fanout = distribution.FeedTopology{Readers: readers, FeedsPerVM: 8}

// fallbackParents is the number of nodes of its region that a node with a stale view
// follows in addition to trying to read the platform itself. The platform may reject this
// node and both readers while it answers other nodes, which then read it themselves. If a
// third of the nodes are rejected, all eight of these nodes are rejected in one case out of
// 4,000.
const fallbackParents = 8

// neighbours returns the addresses of the nodes to follow.
func (f *Follower) neighbours() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.currentTopology()
	var chosen []string
	add := func(address string) {
		if address != f.config.SelfAddress && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	for _, vm := range f.sources() {
		add(vm.PeerAddress)
	}
	orphaned := f.orphaned()
	if orphaned || f.view.MembersAge(f.clock.Now()) > f.timing.moreParentsAfter {
		for _, vm := range t.first(fallbackParents) {
			add(vm.PeerAddress)
		}
	}
	if t.rank < readers || orphaned && t.rank < failoverNodes {
		for _, region := range t.remoteReaders {
			for _, vm := range f.firstReachable(region) {
				add(vm.PeerAddress)
			}
		}
	}
	if f.view.Table() == nil {
		for _, hint := range f.hints {
			add(hint)
		}
	}
	return chosen
}

// sources returns the nodes of the region from which updates are received: this node's
// parents, and also the readers while a parent's feed is broken or updates are late. It
// must be called with the mutex held.
func (f *Follower) sources() []membership.VM {
	t := f.currentTopology()
	late := f.view.MembersAge(f.clock.Now()) > f.timing.farReaderAfter
	for _, vm := range t.parents {
		late = late || f.broken[vm.PeerAddress]
	}
	if late {
		return append(slices.Clip(t.parents), t.first(readers)...)
	}
	return t.parents
}

// firstReachable returns only the first of the VMs unless the feed to it is broken. In that
// case it returns the VMs up to and including the second one whose feed is not broken. It
// must be called with the mutex held.
func (f *Follower) firstReachable(vms []membership.VM) []membership.VM {
	working := 0
	for i, vm := range vms {
		if !f.broken[vm.PeerAddress] {
			working++
		}
		if working == readers || i == 0 && working == 1 {
			return vms[:i+1]
		}
	}
	return vms
}

// followNeighbours keeps one feed open to each neighbour.
func (f *Follower) followNeighbours(ctx context.Context) {
	feeds := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range feeds {
			stop()
		}
	}()
	for ctx.Err() == nil {
		wanted := f.neighbours()
		for address, stop := range feeds {
			if !slices.Contains(wanted, address) {
				stop()
				delete(feeds, address)
			}
		}
		for _, address := range wanted {
			if feeds[address] == nil {
				feedCtx, stop := context.WithCancel(ctx)
				feeds[address] = stop
				go f.followNeighbour(feedCtx, address)
			}
		}
		f.await(ctx, f.untilMoreNeighbours())
	}
}

// untilMoreNeighbours returns the time until this node may have to follow further nodes if
// it receives no update before.
func (f *Follower) untilMoreNeighbours() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.view.MembersAge(f.clock.Now())
	switch {
	case f.view.Table() == nil || age < 0:
		return 0
	case age < f.timing.farReaderAfter:
		return f.timing.farReaderAfter - age
	}
	return f.timing.moreParentsAfter - age
}

// reconnectDelay is the pause before a broken feed is reopened.
const reconnectDelay = 300 * time.Millisecond

func (f *Follower) setBroken(address string, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if broken {
		f.broken[address] = true
	} else {
		delete(f.broken, address)
	}
	f.wake()
}

// orphaned reports whether the feeds of all sources are broken. It must be called with the
// mutex held.
func (f *Follower) orphaned() bool {
	followed := 0
	for _, vm := range f.sources() {
		if vm.ID == f.config.SelfAddress {
			continue
		}
		if !f.broken[vm.PeerAddress] {
			return false
		}
		followed++
	}
	return followed > 0
}

func (f *Follower) followNeighbour(ctx context.Context, address string) {
	defer f.setBroken(address, false)
	lost := false
	for ctx.Err() == nil {
		f.mu.Lock()
		checkpoint := f.view.Checkpoint()
		f.mu.Unlock()
		clock := feedClock{openedAt: f.clock.Now()}
		err := f.feed.Follow(ctx, address, checkpoint, func(update *mesh.Update) error {
			sent := clock.sentAt(update.SentOffset, f.clock.Now())
			if lost {
				lost = false
				f.setBroken(address, false)
				f.log.Info().Str(logfield.Neighbour, address).Msg("neighbour regained")
			}
			f.recordNearerReader(update, sent)
			f.announceIfEmpty(ctx, address, update)
			return f.apply(update, sent)
		})
		if ctx.Err() != nil {
			return
		}
		if !lost {
			lost = true
			f.setBroken(address, true)
			f.log.Info().Str(logfield.Neighbour, address).Err(err).Msg("neighbour lost")
		}
		f.pause(ctx, reconnectDelay)
	}
}

// HostOf returns the host part of an address, or the address itself if it has no port.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
