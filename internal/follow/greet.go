package follow

import (
	"context"
	"slices"

	"tamarackquay/internal/mesh"
)

// greetOthers lets nodes that should follow this one and don't know of it. A process
// that restarts while the platform is away knows nobody: the nodes that it is to
// follow, which have a view, know its VM. Nodes that follow already are left alone, so
// that a calm region greets nobody.
func (f *Follower) greetOthers(ctx context.Context) {
	if f.config.Announce == nil {
		return
	}
	for f.pause(ctx, greetInterval) {
		for _, address := range f.strangers() {
			if ctx.Err() != nil {
				return
			}
			f.config.Announce(ctx, address)
		}
	}
}

// greetIfLost greets a reader that has restarted and knows nothing, where this
// node does: all readers of a region may restart at once.
func (f *Follower) greetIfLost(ctx context.Context, address string, update *mesh.Update) {
	if f.config.Announce == nil || update.Age >= 0 || f.Age() < 0 {
		return
	}
	f.config.Announce(ctx, address)
}

// strangers are the nodes that should follow this one and don't.
func (f *Follower) strangers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Table() == nil {
		return nil
	}
	var strangers []string
	for _, vm := range f.currentOrder().followers() {
		if f.feeds[HostOf(vm.PeerAddress)] == 0 {
			strangers = append(strangers, vm.PeerAddress)
		}
	}
	slices.Sort(strangers)
	return strangers
}

func (f *Follower) countFeed(host string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feeds[host] += n
	if f.feeds[host] == 0 {
		delete(f.feeds, host)
	}
}
