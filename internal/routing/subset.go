package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackquay/internal/membership"
)

// SubsetSize is the number of targets per service and distance to which a node
// sends requests. It limits the connections of a node and the work of picking a
// target. Each target is still in the subsets of many nodes.
const SubsetSize = 8

// Groups divides a service's targets by distance, which is the index in the result,
// and reduces each group to the node's subset. self is the id of the node's VM.
// Rendezvous hashing of node and target keeps the subset stable when targets join or
// leave: a departed target is replaced by one other, and no other connection is
// closed.
func Groups(from Locality, self string, targets []membership.VM) [OtherRegion + 1][]membership.VM {
	var groups [OtherRegion + 1][]membership.VM
	for _, vm := range targets {
		distance := from.DistanceTo(vm)
		groups[distance] = append(groups[distance], vm)
	}
	for i := range groups {
		groups[i] = subset(self, groups[i])
	}
	return groups
}

func subset(self string, group []membership.VM) []membership.VM {
	if len(group) <= SubsetSize {
		return group
	}
	scores := make(map[string]uint64, len(group))
	for _, vm := range group {
		scores[vm.ID] = xxhash.Sum64String(self + "\x00" + vm.ID)
	}
	slices.SortFunc(group, func(a, b membership.VM) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return group[:SubsetSize:SubsetSize]
}
