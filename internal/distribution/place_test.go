package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/snapshot"
)

// fleetVMs returns n VMs distributed over the failure domains, and the domains
// over the regions.
func fleetVMs(n, domains, regions int) []membership.VM {
	vms := make([]membership.VM, n)
	for i := range vms {
		domain := i % domains
		vms[i] = membership.VM{ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("d%d", domain), Region: fmt.Sprintf("r%d", domain%regions)}
	}
	return vms
}

// Guards against nodes that no announcement reaches, and against announcements
// in excess. In a fleet of 1,600 nodes one change must reach every node by
// announcements alone: each region is entered once per path, each node receives
// a few announcements, and no node sends many.
func TestAnnouncementsReachEveryNode(t *testing.T) {
	vms := fleetVMs(1600, 13, 4)
	root := snapshot.HashOf([]byte("version"))
	config := DefaultConfig()
	config.Redundancy = 1
	reached := map[string]Distance{vms[0].ID: FromPlatform}
	queue := []membership.VM{vms[0]}
	crossings, messages := 0, 0
	for len(queue) > 0 {
		sender := queue[0]
		queue = queue[1:]
		peers := AnnouncePeers(config, sender, vms, root, reached[sender.ID])
		assert.Assert(t, len(peers) <= 3+3+config.Children+1, "one node announces to %d", len(peers))
		for _, vm := range peers {
			messages++
			distance := DistanceOf(sender, vm)
			if distance == OtherRegion {
				crossings++
			}
			if _, ok := reached[vm.ID]; !ok {
				reached[vm.ID] = distance
				queue = append(queue, vm)
			}
		}
	}
	assert.Equal(t, len(reached), len(vms))
	assert.Equal(t, crossings, 3)
	assert.Assert(t, messages < 1600+13*4, "%d announces", messages)
}

// Guards against nodes that disagree on the readers. All nodes compute the same
// ones without coordination, the first two of a region are in different failure
// domains, and a reader that leaves is replaced by the next in order.
func TestNodesAgreeOnReaders(t *testing.T) {
	vms := fleetVMs(60, 13, 4)
	ranks := func(live []membership.VM) map[int]membership.VM {
		byRank := map[int]membership.VM{}
		for _, vm := range live {
			if vm.Region == "r0" {
				byRank[ReaderRank(vm, live)] = vm
			}
		}
		return byRank
	}
	before := ranks(vms)
	assert.Assert(t, before[0].FailureDomain != before[1].FailureDomain)
	var left []membership.VM
	for _, vm := range vms {
		if vm.ID != before[0].ID {
			left = append(left, vm)
		}
	}
	after := ranks(left)
	assert.Equal(t, len(after), len(before)-1)
	assert.Equal(t, after[0].ID, before[1].ID)
}

// Guards against overloading the platform with reads. 1,600 nodes in 4 regions,
// with random delays, must stay under 50 reads per second in the steady state
// and under 1,000 when all start at the same time.
func TestFleetReadsAreBounded(t *testing.T) {
	const nodes, regions, kinds = 1600, 4, 2
	const watchWait, listInterval = 20, 5
	pace := DefaultReadPacing()
	random := rand.New(rand.NewPCG(1, 2))
	var probes float64
	for range nodes {
		probes += kinds / pace.ProbeDelay(random, nodes).Seconds()
	}
	readers := float64(regions * pace.Readers)
	rest := probes + readers*(2.0/watchWait+1.0/listInterval)
	t.Logf("reads/s at rest: %.1f", rest)
	assert.Assert(t, rest < 50, "%.1f reads/s", rest)

	perSecond := map[int]int{}
	for range nodes {
		perSecond[int(pace.StartDelay(random)/time.Second)]++
	}
	peak := 0
	for _, lists := range perSecond {
		// At the same time the first reader of each region reads parts, and
		// each reader reads its manifest.
		peak = max(peak, lists+regions*(int(pace.PartsRate)+pace.Readers))
	}
	t.Logf("reads/s when all start: %d", peak)
	assert.Assert(t, peak < 1000, "%d reads/s", peak)
}

// Guards against FirstReaders and ReaderOrder disagreeing on the first reader of a
// region: nodes of other regions compute only the former.
func TestFirstReadersMatchReaderOrder(t *testing.T) {
	vms := fleetVMs(120, 13, 4)
	for _, vm := range vms {
		first := FirstReaders(vm.Region, vms, 3)
		assert.Equal(t, first[0].ID, ReaderOrder(vm, vms)[0].ID)
		assert.DeepEqual(t, first, sortByScore(readerSalt, inRegion(vm, vms))[:3])
	}
	assert.Equal(t, len(FirstReaders("nowhere", vms, 3)), 0)
}
