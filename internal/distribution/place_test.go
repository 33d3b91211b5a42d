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

// fleetVMs are n VMs spread over the domains, and these over the regions.
func fleetVMs(n, domains, regions int) []membership.VM {
	vms := make([]membership.VM, n)
	for i := range vms {
		domain := i % domains
		vms[i] = membership.VM{ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("d%d", domain), Region: fmt.Sprintf("r%d", domain%regions)}
	}
	return vms
}

// At the size to design for, one change reaches every node by announces alone:
// each region is told once per path, each node a few times, and no node tells
// many.
func TestAudienceReachesEveryNode(t *testing.T) {
	vms := fleetVMs(1600, 13, 4)
	root := snapshot.HashOf([]byte("version"))
	config := DefaultConfig()
	config.Redundancy = 1
	reached := map[string]Distance{vms[0].ID: FromPlatform}
	queue := []membership.VM{vms[0]}
	crossings, messages := 0, 0
	for len(queue) > 0 {
		teller := queue[0]
		queue = queue[1:]
		audience := AnnouncePeers(config, teller, vms, root, reached[teller.ID])
		assert.Assert(t, len(audience) <= 3+3+config.Children+1, "one node tells %d", len(audience))
		for _, vm := range audience {
			messages++
			distance := DistanceOf(teller, vm)
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

// All nodes agree on the readers without talking, the first two of a region lie
// in two failure domains, and a reader that is gone is replaced by the next.
func TestReadersAreAgreedOn(t *testing.T) {
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

// The reads that 1,600 nodes in 4 regions make of the platform, counted over
// the drawn times: under 50 a second at rest, and never over 1,000 when all
// start within the same moment.
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
		// Meanwhile the first reader of each region reads parts, and each
		// reader its manifest.
		peak = max(peak, lists+regions*(int(pace.PartsRate)+pace.Readers))
	}
	t.Logf("reads/s when all start: %d", peak)
	assert.Assert(t, peak < 1000, "%d reads/s", peak)
}

// Guards against two answers to who reads first: nodes of other regions ask for the
// first one alone.
func TestFirstReaderIsTheFirstOfTheOrder(t *testing.T) {
	vms := fleetVMs(120, 13, 4)
	for _, vm := range vms {
		first := FirstReaders(vm.Region, vms, 3)
		assert.Equal(t, first[0].ID, ReaderOrder(vm, vms)[0].ID)
		assert.DeepEqual(t, first, ordered(readerSalt, ofRegion(vm, vms))[:3])
	}
	assert.Equal(t, len(FirstReaders("nowhere", vms, 3)), 0)
}
