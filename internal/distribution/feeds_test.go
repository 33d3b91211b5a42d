package distribution

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
)

var testFeeds = FeedTopology{Readers: 2, FeedsPerVM: 8}

// regionOrder is a region of so many VMs in three failure domains, as its first VM
// orders them.
func regionOrder(vms, domains int) []membership.VM {
	region := fleetVMs(vms, domains, 1)
	return ReaderOrder(region[0], region)
}

// Guards against updates that pass too many VMs, against VMs that serve feeds in
// proportion to the fleet, and against one that all feeds of a VM depend on.
func TestFeedsReachEveryVM(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 14, 26, 27, 33, 98, 400, 1600} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			order := regionOrder(vms, 3)
			steps := map[string]int{}
			feeds := map[string]int{}
			for place, vm := range order {
				parents := testFeeds.Parents(order, place)
				for _, parent := range parents {
					feeds[parent.ID]++
				}
				if place < testFeeds.Readers {
					continue
				}
				assert.Equal(t, len(parents), min(parentsPerVM, len(order)))
				assert.Assert(t, parents[0].ID != parents[1].ID)
				assert.Assert(t, parents[0].FailureDomain != parents[1].FailureDomain)
				assert.Assert(t, parents[0].ID != vm.ID && parents[1].ID != vm.ID)
				steps[vm.ID] = 1 + max(steps[parents[0].ID], steps[parents[1].ID])
				// log4 of the fleet, and the levels at both ends.
				assert.Assert(t, steps[vm.ID] <= 2+int(math.Log(float64(vms))/math.Log(float64(testFeeds.FeedsPerVM/parentsPerVM))))
			}
			for id, count := range feeds {
				// Choices are by hash: of some hundred VMs one is chosen by far more than most.
				assert.Assert(t, count <= 3*testFeeds.FeedsPerVM, "%s serves %d", id, count)
			}
			if vms > 400 {
				return
			}
			for place := range order {
				feeds[order[place].ID] -= len(testFeeds.Children(order, place))
			}
			for id, count := range feeds {
				// A reader counts itself among its own parents.
				assert.Assert(t, count == 0 || count == 1 && slices.ContainsFunc(order[:min(testFeeds.Readers, len(order))], func(vm membership.VM) bool { return vm.ID == id }))
			}
		})
	}
}

// Guards against a region in which most nodes open other feeds when one VM leaves.
func TestFewFeedsChangeWhenAVMLeaves(t *testing.T) {
	const vms = 98
	order := regionOrder(vms, 3)
	parentsOf := func(order []membership.VM) map[string][]membership.VM {
		found := map[string][]membership.VM{}
		for place, vm := range order {
			found[vm.ID] = testFeeds.Parents(order, place)
		}
		return found
	}
	before := parentsOf(order)
	total := 0
	for gone := range order {
		var left []membership.VM
		for place, vm := range order {
			if place != gone {
				left = append(left, vm)
			}
		}
		after := parentsOf(ReaderOrder(left[0], left))
		for id, parents := range after {
			for i, parent := range parents {
				if parent.ID != before[id][i].ID {
					total++
				}
			}
		}
	}
	// A VM serves 2 feeds on average; those of the few that change their level come on top.
	assert.Assert(t, total <= 8*vms, "%d feeds for %d departures", total, vms)
}

// Guards against a VM without a second parent where all VMs are in one failure domain.
func TestParentsInOneFailureDomain(t *testing.T) {
	order := regionOrder(60, 1)
	for place := range order {
		if place >= testFeeds.Readers {
			parents := testFeeds.Parents(order, place)
			assert.Equal(t, len(parents), parentsPerVM)
			assert.Assert(t, parents[0].ID != parents[1].ID)
		}
	}
}
