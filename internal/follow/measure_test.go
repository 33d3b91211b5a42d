//go:build !race

package follow

import (
	"fmt"
	"os"
	"testing"
	"time"

	"tamarackquay/internal/distribution"
)

// fanoutResult holds the measurements of one fanout in one fleet.
type fanoutResult struct {
	departure, change time.Duration
	busiest           int
	readsPerMinute    int
}

// measureFanout simulates a departure and a change of many routes in one fleet, on links of
// which callers leave the given part free.
func measureFanout(t *testing.T, perDomain int, free float64) fanoutResult {
	var result fanoutResult
	simulateFleet(t, largeBound, perDomain, func(_ *testing.T, w *world) {
		const rest = 20 * time.Second
		w.takeReads()
		time.Sleep(rest)
		result.readsPerMinute = w.takeReads() * int(time.Minute/rest)
		w.mu.Lock()
		w.linkRate = smallLink * free
		w.mu.Unlock()
		w.takeSent()
		w.publish(2, routes(manyRoutes)...)
		w.remove("a1-0")
		start := time.Now()
		for result.departure == 0 || result.change == 0 {
			time.Sleep(10 * time.Millisecond)
			elapsed := time.Since(start)
			if result.departure == 0 && len(w.nodesUsing("a1-0")) == 0 {
				result.departure = elapsed
			}
			if result.change == 0 && len(w.lagging(2)) == 0 {
				result.change = elapsed
			}
			if elapsed > time.Minute {
				break
			}
		}
		result.busiest, _ = w.takeSent()
	})
	return result
}

// TestMeasureFanout prints how the cost of several fanouts grows with the fleet.
func TestMeasureFanout(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	original := fanout
	defer func() { fanout = original }()
	for _, variant := range []struct {
		desc  string
		feeds distribution.FeedTopology
	}{
		{"one level", distribution.FeedTopology{Readers: readers, FeedsPerVM: 1 << 20}},
		{"levels of 8", distribution.FeedTopology{Readers: readers, FeedsPerVM: 8}},
		{"levels of 24", distribution.FeedTopology{Readers: readers, FeedsPerVM: 24}},
		{"levels of 48", distribution.FeedTopology{Readers: readers, FeedsPerVM: 48}},
	} {
		t.Run(variant.desc, func(t *testing.T) {
			fanout = variant.feeds
			for _, perDomain := range []int{8, 25, 75, 250, 400} {
				for _, free := range []float64{1, 0.5, 0.1} {
					r := measureFanout(t, perDomain, free)
					fmt.Printf("%-13s %5d VMs, link %3.0f%% free: departure %6s, change %6s, busiest node %7d bytes, %d reads a minute\n",
						variant.desc, 4*perDomain, 100*free, r.departure, r.change, r.busiest, r.readsPerMinute)
				}
			}
		})
	}
}

// TestMeasureNotices prints how soon all nodes quarantine a request under which three
// targets crashed, and the bytes sent, in fleets of several sizes on links of which callers
// leave a tenth free.
func TestMeasureNotices(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, perDomain := range []int{8, 25, 74, 250} {
		simulateFleet(t, largeBound, perDomain, func(t *testing.T, w *world) {
			w.mu.Lock()
			w.linkRate = smallLink / 10
			clear(w.noticeBytes)
			w.mu.Unlock()
			w.crashThreeTargets(w.nodesExcept(nil))
			begin := time.Now()
			for len(w.notQuarantining(poison)) > 0 && time.Since(begin) < knownWithin {
				time.Sleep(10 * time.Millisecond)
			}
			known := time.Since(begin)
			time.Sleep(time.Second)
			most, all := 0, 0
			for _, bytes := range w.noticeBytes {
				most = max(most, bytes)
				all += bytes
			}
			t.Logf("%d VMs: known by all %s after the third report; busiest node %d bytes, mean %d", 4*perDomain, known, most, all/(4*perDomain))
		})
	}
}
