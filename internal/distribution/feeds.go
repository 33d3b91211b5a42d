package distribution

import (
	"slices"

	"tamarackquay/internal/membership"
)

// Feeds is how updates spread in a region: the first VMs of the order of readers read the
// platform, the next ones follow them, and each further level follows the one before it.
// So the feeds that a VM serves are bounded however large the region is, and a
// region that one level suffices for has no other.
type FeedTopology struct {
	// Readers is how many VMs everyone in the first level follows.
	Readers int
	// Most is how many feeds a VM serves, on average over its level at most.
	FeedsPerVM int
}

// parentsPerVM is how many VMs of the level before it a VM follows: the loss of one cuts
// it off from nothing.
const parentsPerVM = 2

// level is a range of places in the order of readers: from First, up to End.
type level struct{ first, end int }

// levels returns the level of the VM at a place, the one before it and the one after it.
func (c FeedTopology) levels(place int) (before, own, after level) {
	own = level{0, c.Readers}
	after = level{c.Readers, c.Readers + c.FeedsPerVM}
	for place >= own.end {
		before, own = own, after
		after = level{own.end, own.end + (own.end-own.first)*c.FeedsPerVM/parentsPerVM}
	}
	return before, own, after
}

// Parents returns the VMs that the one at a place of the order of readers follows: the
// readers in the first level, and further on two of the level before, chosen so that few
// choose others when a VM comes or goes: one of its own failure domain, where the bytes
// stay inside, and one of another, so that the loss of a domain leaves one.
func (c FeedTopology) Parents(order []membership.VM, place int) []membership.VM {
	if place < c.Readers+c.FeedsPerVM {
		return order[:min(c.Readers, len(order))]
	}
	before, _, _ := c.levels(place)
	self := order[place]
	near, far := favourites{salt: []byte(self.ID)}, favourites{salt: []byte(self.ID)}
	for _, vm := range order[before.first:before.end] {
		if vm.FailureDomain == self.FailureDomain {
			near.offer(vm)
		} else {
			far.offer(vm)
		}
	}
	switch {
	case near.count == 0:
		return far.vms[:min(far.count, parentsPerVM)]
	case far.count == 0:
		return near.vms[:min(near.count, parentsPerVM)]
	}
	return []membership.VM{near.vms[0], far.vms[0]}
}

// Children returns the VMs that follow the one at a place of the order.
func (c FeedTopology) Children(order []membership.VM, place int) []membership.VM {
	_, own, after := c.levels(place)
	if own.first == 0 {
		// The readers follow each other as well.
		after.first = 0
	}
	var children []membership.VM
	for child := after.first; child < min(after.end, len(order)); child++ {
		if child != place && slices.ContainsFunc(c.Parents(order, child), func(vm membership.VM) bool { return vm.ID == order[place].ID }) {
			children = append(children, order[child])
		}
	}
	return children
}

// favourites are the VMs with the highest scores of those that were offered.
type favourites struct {
	salt   []byte
	vms    [parentsPerVM]membership.VM
	scores [parentsPerVM]uint64
	count  int
}

func (f *favourites) offer(vm membership.VM) {
	own := score(f.salt, vm.ID)
	f.count++
	for i := range f.vms {
		if f.vms[i].ID == "" || own > f.scores[i] {
			vm, f.vms[i] = f.vms[i], vm
			own, f.scores[i] = f.scores[i], own
		}
	}
}
