package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackquay/internal/membership"
)

// SubsetSize is how many targets of one service and distance a node sends to.
// It bounds the connections of a node and the work of a choice; each target is
// still reached by many nodes.
const SubsetSize = 8

// Groups sorts a service's targets by distance and cuts each group down to the
// node's subset. Rendezvous hashing over the node and the target keeps the
// subset when other targets come and go: a lost target is replaced by one, and
// no other connection is given up.
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
