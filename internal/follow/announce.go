package follow

import (
	"context"
	"slices"

	"tamarackquay/internal/mesh"
)

// announceToFollowers announces this node to the nodes that should follow it and don't. A
// process that restarts during a platform outage has no addresses of other nodes, but the
// nodes that it should follow have a view that contains its VM. Nodes that already follow
// this one are skipped, so no announcements are sent in a stable region.
func (f *Follower) announceToFollowers(ctx context.Context) {
	if f.config.Announce == nil {
		return
	}
	for f.pause(ctx, announceInterval) {
		for _, address := range f.missingFollowers() {
			if ctx.Err() != nil {
				return
			}
			f.config.Announce(ctx, address)
		}
	}
}

// announceIfEmpty announces this node to a reader that has restarted without a view, if
// this node has one: all readers of a region may restart at once.
func (f *Follower) announceIfEmpty(ctx context.Context, address string, update *mesh.Update) {
	if f.config.Announce == nil || update.Age >= 0 || f.Age() < 0 {
		return
	}
	f.config.Announce(ctx, address)
}

// missingFollowers returns the addresses of the nodes that should follow this one and
// don't.
func (f *Follower) missingFollowers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Table() == nil {
		return nil
	}
	var missing []string
	for _, vm := range f.currentTopology().followers() {
		if f.feeds[HostOf(vm.PeerAddress)] == 0 {
			missing = append(missing, vm.PeerAddress)
		}
	}
	slices.Sort(missing)
	return missing
}

func (f *Follower) countFeed(host string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feeds[host] += n
	if f.feeds[host] == 0 {
		delete(f.feeds, host)
	}
}
