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

// regionOrder returns the reader order of a region with the given number of VMs and
// failure domains.
func regionOrder(vms, domains int) []membership.VM {
	region := fleetVMs(vms, domains, 1)
	return ReaderOrder(region[0], region)
}

// Guards against updates that take too many hops, against VMs that serve a number of feeds
// proportional to the fleet, and against a single VM that all feeds of another depend on.
func TestFeedsReachEveryVM(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 14, 26, 27, 33, 98, 400, 1600} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			order := regionOrder(vms, 3)
			steps := map[string]int{}
			feeds := map[string]int{}
			for rank, vm := range order {
				parents := testFeeds.Parents(order, rank)
				for _, parent := range parents {
					feeds[parent.ID]++
				}
				if rank < testFeeds.Readers {
					continue
				}
				assert.Equal(t, len(parents), min(parentsPerVM, len(order)))
				assert.Assert(t, parents[0].ID != parents[1].ID)
				assert.Assert(t, parents[0].FailureDomain != parents[1].FailureDomain)
				assert.Assert(t, parents[0].ID != vm.ID && parents[1].ID != vm.ID)
				steps[vm.ID] = 1 + max(steps[parents[0].ID], steps[parents[1].ID])
				// log4 of the fleet size, plus the first and the last level.
				assert.Assert(t, steps[vm.ID] <= 2+int(math.Log(float64(vms))/math.Log(float64(testFeeds.FeedsPerVM/parentsPerVM))))
			}
			for id, count := range feeds {
				// Parents are chosen by hash: among some hundred VMs, one is chosen far more often than most.
				assert.Assert(t, count <= 3*testFeeds.FeedsPerVM, "%s serves %d", id, count)
			}
			if vms > 400 {
				return
			}
			for rank := range order {
				feeds[order[rank].ID] -= len(testFeeds.Children(order, rank))
			}
			for id, count := range feeds {
				// The parents of a reader include the reader itself.
				assert.Assert(t, count == 0 || count == 1 && slices.ContainsFunc(order[:min(testFeeds.Readers, len(order))], func(vm membership.VM) bool { return vm.ID == id }))
			}
		})
	}
}

// Guards against most nodes of a region changing their feeds when one VM leaves.
func TestFewFeedsChangeWhenAVMLeaves(t *testing.T) {
	const vms = 98
	order := regionOrder(vms, 3)
	parentsOf := func(order []membership.VM) map[string][]membership.VM {
		found := map[string][]membership.VM{}
		for rank, vm := range order {
			found[vm.ID] = testFeeds.Parents(order, rank)
		}
		return found
	}
	before := parentsOf(order)
	total := 0
	for removed := range order {
		var left []membership.VM
		for rank, vm := range order {
			if rank != removed {
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
	// A VM serves 2 feeds on average. The few VMs that move to another level add to this.
	assert.Assert(t, total <= 8*vms, "%d feeds for %d departures", total, vms)
}

// Guards against a missing second parent when all VMs are in one failure domain.
func TestParentsInOneFailureDomain(t *testing.T) {
	order := regionOrder(60, 1)
	for rank := range order {
		if rank >= testFeeds.Readers {
			parents := testFeeds.Parents(order, rank)
			assert.Equal(t, len(parents), parentsPerVM)
			assert.Assert(t, parents[0].ID != parents[1].ID)
		}
	}
}
