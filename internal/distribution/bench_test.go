package distribution

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
)

// benchSet returns a set of 300 services and the given number of contracts, each
// with 4 routes. change selects the contract whose deadline differs.
func benchSet(contracts, change int) *contract.Set {
	set := &contract.Set{}
	for i := range 300 {
		set.Services = append(set.Services, contract.Service{Name: fmt.Sprintf("service-%d", i), Slots: 12,
			MaxConnections: 110, Committed: map[string]int{"a": 3, "b": 3}})
	}
	template := testSet(0, "tally").Contracts[0]
	for i := range contracts {
		c := template
		c.Customer = fmt.Sprintf("customer-%d", i)
		c.TokenHashes = []string{contract.HashToken(c.Customer)}
		c.Grants, c.Routes = nil, nil
		for j := range 4 {
			service := fmt.Sprintf("service-%d", (i*7+j)%300)
			c.Grants = append(c.Grants, contract.Grant{Service: service, Share: 0.01, Limit: 1})
			route := template.Routes[0]
			route.Name, route.Prefix, route.Service = fmt.Sprintf("route-%d", j), fmt.Sprintf("/%d/", j), service
			c.Routes = append(c.Routes, route)
		}
		set.Contracts = append(set.Contracts, c)
	}
	set.Contracts[change%contracts].Routes[0].Deadline *= 3
	return set
}

func benchPublication(tb testing.TB, contracts, change int) *snapshot.Publication {
	tb.Helper()
	publication, err := snapshot.Build(benchSet(contracts, change), snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: uint64(change)}})
	assert.NilError(tb, err)
	return publication
}

// BenchmarkApplyChange measures the cost of one change on a node: select the
// parts, validate the complete version, replace the snapshot. B/op is an upper
// bound of the memory used temporarily.
func BenchmarkApplyChange(b *testing.B) {
	for _, contracts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("contracts-%d", contracts), func(b *testing.B) {
			first, second := benchPublication(b, contracts, 1), benchPublication(b, contracts, 2)
			size := 0
			for _, raw := range first.Parts {
				size += len(raw)
			}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				s := newState()
				deliver(s, start, first)
				b.StartTimer()
				if count[Apply](deliver(s, start, second)) != 1 {
					b.Fatal("not applied")
				}
			}
			b.ReportMetric(float64(size), "part-bytes")
			b.ReportMetric(stateHeap(first), "state-bytes")
		})
	}
}

// stateHeap returns the heap bytes held by the state of one node with the
// version applied.
func stateHeap(publication *snapshot.Publication) float64 {
	var before, after runtime.MemStats
	const copies = 8
	runtime.GC()
	runtime.ReadMemStats(&before)
	states := make([]*State, copies)
	for i := range states {
		states[i] = newState()
		deliver(states[i], start, publication)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(states)
	return float64(after.HeapAlloc-before.HeapAlloc) / copies
}

// BenchmarkAnnouncePeers measures the selection of the peers for an announcement.
func BenchmarkAnnouncePeers(b *testing.B) {
	for _, nodes := range []int{120, 240, 1600} {
		vms := fleetVMs(nodes, 13, 4)
		b.Run(fmt.Sprintf("nodes-%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				AnnouncePeers(DefaultConfig(), vms[0], vms, snapshot.Hash{}, FromPlatform)
			}
		})
	}
}

// BenchmarkReaderRank measures the rank computation that a node runs each tick.
func BenchmarkReaderRank(b *testing.B) {
	for _, nodes := range []int{120, 240, 1600} {
		vms := fleetVMs(nodes, 13, 4)
		b.Run(fmt.Sprintf("nodes-%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ReaderRank(vms[0], vms)
			}
		})
	}
}

// maxApplyAllocs is the allocation limit of applying one change; it leaves a
// margin of one half.
const maxApplyAllocs = 21_000

// Guards against a change that is decoded or validated more than once: applying
// one change of one contract among 100 makes a bounded number of allocations.
func TestApplyAllocatesABoundedAmount(t *testing.T) {
	const runs = 3
	first, second := benchPublication(t, 100, 1), benchPublication(t, 100, 2)
	var states []*State
	for range runs + 1 {
		states = append(states, newState())
		deliver(states[len(states)-1], start, first)
	}
	allocs := testing.AllocsPerRun(runs, func() {
		deliver(states[0], start, second)
		states = states[1:]
	})
	t.Logf("%.0f allocations", allocs)
	assert.Assert(t, allocs < maxApplyAllocs, "%.0f", allocs)
}
