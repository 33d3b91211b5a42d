package follow

import (
	"slices"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/mesh"
)

// order is who reads the platform and who follows whom, as one node sees the fleet.
type order struct {
	// members is the view's count of changes of members that the order is made of.
	members uint64
	// region holds the VMs of the region in the order in which they read, this one
	// among them.
	region []membership.VM
	// rank is this node's place in it.
	rank int
	// parents are the nodes that this one follows, children those that follow it, which
	// are worked out when they are asked for.
	parents       []membership.VM
	children      []membership.VM
	childrenKnown bool
	// strangers holds the first readers of each other region.
	strangers [][]membership.VM
}

// first returns the first VMs of the region, so many at most.
func (o *order) first(count int) []membership.VM { return o.region[:min(count, len(o.region))] }

func (o *order) followers() []membership.VM {
	if !o.childrenKnown {
		o.children = spread.Children(o.region, o.rank)
		o.childrenKnown = true
	}
	return o.children
}

// currentOrder returns the order of the view's members. It is worked out anew only when
// they have changed: made on each tick, it took most of an idle node's processor time in
// a fleet of some hundred VMs. It must be called with the mutex held.
func (f *Follower) currentOrder() *order {
	members := f.view.MembersGeneration()
	if f.order != nil && f.order.members == members {
		return f.order
	}
	vms := f.vms()
	self := f.self()
	o := &order{members: members, region: distribution.ReaderOrder(self, vms)}
	o.rank = slices.IndexFunc(o.region, func(vm membership.VM) bool { return vm.ID == self.ID })
	o.parents = spread.Parents(o.region, o.rank)
	for _, region := range f.otherRegions() {
		o.strangers = append(o.strangers, distribution.FirstReaders(region, vms, staleParents))
	}
	f.order = o
	return o
}

// vms are the VMs on which targets run that take work, one for each address.
func (f *Follower) vms() []membership.VM {
	seen := make(map[string]bool, len(f.view.Members()))
	vms := make([]membership.VM, 0, len(f.view.Members()))
	for _, member := range f.view.Members() {
		address := f.peerAddress(member.Address)
		if member.State != mesh.Ready || seen[address] {
			continue
		}
		seen[address] = true
		vms = append(vms, membership.VM{
			ID: address, PeerAddress: address, FailureDomain: member.FailureDomain,
			Region: f.config.Regions[member.FailureDomain],
		})
	}
	return vms
}

// peerAddress is the address of the node beside a target. It must be called with the
// mutex held.
func (f *Follower) peerAddress(target string) string {
	address, ok := f.addresses[target]
	if !ok {
		if len(f.addresses) > 2*len(f.view.Members()) {
			clear(f.addresses)
		}
		address = f.config.PeerAddress(target)
		f.addresses[target] = address
	}
	return address
}

func (f *Follower) self() membership.VM {
	return membership.VM{ID: f.config.Self, PeerAddress: f.config.Self, FailureDomain: f.config.FailureDomain, Region: f.config.Region}
}

// rank is how many VMs of the region read before this one.
func (f *Follower) rank() int { return f.currentOrder().rank }

func (f *Follower) otherRegions() []string {
	var regions []string
	for _, region := range f.config.Regions {
		if region != f.config.Region && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}
