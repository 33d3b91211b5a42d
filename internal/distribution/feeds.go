package distribution

import (
	"slices"

	"tamarackquay/internal/membership"
)

// FeedTopology defines how updates propagate within a region. The VMs are arranged in
// levels by the reader order: the first VMs are the readers, which read the platform; the
// VMs of the first level subscribe to the readers, and each further level to the level
// before it. This bounds the number of feeds that a VM serves whatever the size of the
// region. A region that fits into one level has no further levels.
type FeedTopology struct {
	// Readers is the number of VMs that all VMs of the first level subscribe to.
	Readers int
	// FeedsPerVM limits the number of feeds that a VM serves, averaged over its level.
	FeedsPerVM int
}

// parentsPerVM is the number of VMs of the previous level that a VM subscribes to, so that
// it still receives all updates when one of them fails.
const parentsPerVM = 2

// level is a range of ranks in the reader order: first is included, end is not.
type level struct{ first, end int }

// levels returns the level of the VM with the given rank, and the levels before and after it.
func (t FeedTopology) levels(rank int) (before, own, after level) {
	own = level{0, t.Readers}
	after = level{t.Readers, t.Readers + t.FeedsPerVM}
	for rank >= own.end {
		before, own = own, after
		after = level{own.end, own.end + (own.end-own.first)*t.FeedsPerVM/parentsPerVM}
	}
	return before, own, after
}

// Parents returns the VMs that the VM with the given rank in the reader order subscribes
// to. In the first level these are the readers. In further levels they are two VMs of the
// previous level: one in the same failure domain, which keeps the traffic inside the
// domain, and one in another, so that one parent remains if a domain fails. They are chosen
// by rendezvous hashing, so that few VMs change parents when a VM joins or leaves.
func (t FeedTopology) Parents(order []membership.VM, rank int) []membership.VM {
	if rank < t.Readers+t.FeedsPerVM {
		return order[:min(t.Readers, len(order))]
	}
	before, _, _ := t.levels(rank)
	self := order[rank]
	near, far := topScored{salt: []byte(self.ID)}, topScored{salt: []byte(self.ID)}
	for _, vm := range order[before.first:before.end] {
		if vm.FailureDomain == self.FailureDomain {
			near.add(vm)
		} else {
			far.add(vm)
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

// Children returns the VMs that subscribe to the VM with the given rank.
func (t FeedTopology) Children(order []membership.VM, rank int) []membership.VM {
	_, own, after := t.levels(rank)
	if own.first == 0 {
		// The readers also subscribe to each other.
		after.first = 0
	}
	var children []membership.VM
	for child := after.first; child < min(after.end, len(order)); child++ {
		if child != rank && slices.ContainsFunc(t.Parents(order, child), func(vm membership.VM) bool { return vm.ID == order[rank].ID }) {
			children = append(children, order[child])
		}
	}
	return children
}

// topScored keeps the VMs with the highest scores of those added.
type topScored struct {
	salt   []byte
	vms    [parentsPerVM]membership.VM
	scores [parentsPerVM]uint64
	count  int
}

func (t *topScored) add(vm membership.VM) {
	own := score(t.salt, vm.ID)
	t.count++
	for i := range t.vms {
		if t.vms[i].ID == "" || own > t.scores[i] {
			vm, t.vms[i] = t.vms[i], vm
			own, t.scores[i] = t.scores[i], own
		}
	}
}
