package follow

import (
	"slices"

	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/mesh"
)

// topology determines the readers of the platform and the feeds between nodes, as seen by
// one node.
type topology struct {
	// generation is the view's members generation from which the topology was computed.
	generation uint64
	// region holds the VMs of the region in reader order, including this node's.
	region []membership.VM
	// rank is this node's index in region.
	rank int
	// parents are the nodes that this one follows, children those that follow it. The
	// children are computed on first use.
	parents       []membership.VM
	children      []membership.VM
	childrenKnown bool
	// remoteReaders holds the first readers of each other region.
	remoteReaders [][]membership.VM
}

// first returns at most count VMs from the start of the region's reader order.
func (t *topology) first(count int) []membership.VM { return t.region[:min(count, len(t.region))] }

func (t *topology) followers() []membership.VM {
	if !t.childrenKnown {
		t.children = fanout.Children(t.region, t.rank)
		t.childrenKnown = true
	}
	return t.children
}

// currentTopology returns the topology for the view's current members. It is recomputed
// only when they have changed: recomputing it on each tick took most of an idle node's CPU
// time in a fleet of some hundred VMs. It must be called with the mutex held.
func (f *Follower) currentTopology() *topology {
	generation := f.view.MembersGeneration()
	if f.topology != nil && f.topology.generation == generation {
		return f.topology
	}
	vms := f.readyVMs()
	self := f.self()
	t := &topology{generation: generation, region: distribution.ReaderOrder(self, vms)}
	t.rank = slices.IndexFunc(t.region, func(vm membership.VM) bool { return vm.ID == self.ID })
	t.parents = fanout.Parents(t.region, t.rank)
	for _, region := range f.otherRegions() {
		t.remoteReaders = append(t.remoteReaders, distribution.FirstReaders(region, vms, fallbackParents))
	}
	f.topology = t
	return t
}

// readyVMs returns the VMs that run ready targets of services that the configuration names, one for
// each address. Entries of other services may be of another writer, and nothing runs at their addresses.
func (f *Follower) readyVMs() []membership.VM {
	seen := make(map[string]bool, len(f.view.Members()))
	vms := make([]membership.VM, 0, len(f.view.Members()))
	for _, member := range f.view.Members() {
		address := f.peerAddress(member.Address)
		if member.State != mesh.Ready || seen[address] || !f.view.Names(member.Service) {
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

// peerAddress returns the address of the node beside a target. It must be called with the
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
	return membership.VM{ID: f.config.SelfAddress, PeerAddress: f.config.SelfAddress, FailureDomain: f.config.FailureDomain, Region: f.config.Region}
}

// rank returns the number of VMs of the region that precede this one in reader order.
func (f *Follower) rank() int { return f.currentTopology().rank }

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
