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

// readers is how many readers a region has: the one that reads and the one that steps in
// first.
const readers = 2

// spread bounds the feeds that a node serves. A reader that fed a whole region of some
// hundred nodes sent each change over its link as often, and spent its processor time on
// beats.
var spread = distribution.Feeds{Readers: readers, Most: 8}

// staleParents is how many nodes of its region a node follows whose view is old
// though it tries to read the platform itself. The platform may turn away this
// node and both readers while it answers others, which then read for themselves;
// with a third of the nodes turned away, all of eight are in one case of 4,000.
const staleParents = 8

// neighbours are the addresses of the nodes to follow.
func (f *Follower) neighbours() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.currentOrder()
	var chosen []string
	add := func(address string) {
		if address != f.config.Self && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	for _, vm := range f.sources() {
		add(vm.PeerAddress)
	}
	orphaned := f.orphaned()
	if orphaned || f.view.Lag(f.clock.Now()) > f.pace.moreParentsAfter {
		for _, vm := range o.first(staleParents) {
			add(vm.PeerAddress)
		}
	}
	if o.rank < readers || orphaned && o.rank < firstToStepIn {
		for _, region := range o.strangers {
			for _, vm := range f.reachable(region) {
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

// sources are the nodes of the region that updates come from: this node's parents, and
// the readers as well while a parent's feed is broken or its updates are late. It must be
// called with the mutex held.
func (f *Follower) sources() []membership.VM {
	o := f.currentOrder()
	late := f.view.Lag(f.clock.Now()) > f.pace.fartherAfter
	for _, vm := range o.parents {
		late = late || f.broken[vm.PeerAddress]
	}
	if late {
		return append(slices.Clip(o.parents), o.first(readers)...)
	}
	return o.parents
}

// reachable returns the first of some VMs and, while its feed is broken, the next ones up to
// the first two whose feeds aren't. It must be called with the mutex held.
func (f *Follower) reachable(vms []membership.VM) []membership.VM {
	sound := 0
	for i, vm := range vms {
		if !f.broken[vm.PeerAddress] {
			sound++
		}
		if sound == readers || i == 0 && sound == 1 {
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
				go f.followOne(feedCtx, address)
			}
		}
		f.await(ctx, f.untilMoreNeighbours())
	}
}

// untilMoreNeighbours is in what time this node may have to follow others, if it hears
// nothing until then.
func (f *Follower) untilMoreNeighbours() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	lag := f.view.Lag(f.clock.Now())
	switch {
	case f.view.Table() == nil || lag < 0:
		return 0
	case lag < f.pace.fartherAfter:
		return f.pace.fartherAfter - lag
	}
	return f.pace.moreParentsAfter - lag
}

// refollow is the pause before a broken feed is opened again.
const refollow = 300 * time.Millisecond

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

// orphaned reports whether the feeds of all nodes that updates come from have broken. It
// must be called with the mutex held.
func (f *Follower) orphaned() bool {
	followed := 0
	for _, vm := range f.sources() {
		if vm.ID == f.config.Self {
			continue
		}
		if !f.broken[vm.PeerAddress] {
			return false
		}
		followed++
	}
	return followed > 0
}

func (f *Follower) followOne(ctx context.Context, address string) {
	defer f.setBroken(address, false)
	lost := false
	for ctx.Err() == nil {
		f.mu.Lock()
		held := f.view.Checkpoint()
		f.mu.Unlock()
		feed := transit{opened: f.clock.Now()}
		err := f.feed.Follow(ctx, address, held, func(update *mesh.Update) error {
			sent := feed.sentAt(update.SentOffset, f.clock.Now())
			if lost {
				lost = false
				f.setBroken(address, false)
				f.log.Info().Str(logfield.Neighbour, address).Msg("neighbour regained")
			}
			f.noteNearer(update, sent)
			f.greetIfLost(ctx, address, update)
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
		f.pause(ctx, refollow)
	}
}

// HostOf returns the host of an address, or the address without one.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
