//go:build !race

package follow

import (
	"fmt"
	"os"
	"testing"
	"time"

	"tamarackquay/internal/distribution"
)

// spreadResult is what one way of spreading took in one fleet.
type spreadResult struct {
	departure, change time.Duration
	busiest           int
	readsPerMinute    int
}

// measureSpread plays a departure and a change of many routes in one fleet, on links of
// which callers leave a part free.
func measureSpread(t *testing.T, perDomain int, free float64) spreadResult {
	var result spreadResult
	simulateFleet(t, largeWithin, perDomain, func(_ *testing.T, w *world) {
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
		began := time.Now()
		for result.departure == 0 || result.change == 0 {
			time.Sleep(10 * time.Millisecond)
			took := time.Since(began)
			if result.departure == 0 && len(w.stillUsed("a1-0")) == 0 {
				result.departure = took
			}
			if result.change == 0 && len(w.lagging(2)) == 0 {
				result.change = took
			}
			if took > time.Minute {
				break
			}
		}
		result.busiest, _ = w.takeSent()
	})
	return result
}

// TestMeasureSpread prints how ways of spreading grow with the fleet.
func TestMeasureSpread(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	built := spread
	defer func() { spread = built }()
	for _, way := range []struct {
		desc  string
		feeds distribution.FeedTopology
	}{
		{"one level", distribution.FeedTopology{Readers: readers, FeedsPerVM: 1 << 20}},
		{"levels of 8", distribution.FeedTopology{Readers: readers, FeedsPerVM: 8}},
		{"levels of 24", distribution.FeedTopology{Readers: readers, FeedsPerVM: 24}},
		{"levels of 48", distribution.FeedTopology{Readers: readers, FeedsPerVM: 48}},
	} {
		t.Run(way.desc, func(t *testing.T) {
			spread = way.feeds
			for _, perDomain := range []int{8, 25, 75, 250, 400} {
				for _, free := range []float64{1, 0.5, 0.1} {
					r := measureSpread(t, perDomain, free)
					fmt.Printf("%-13s %5d VMs, link %3.0f%% free: departure %6s, change %6s, busiest node %7d bytes, %d reads a minute\n",
						way.desc, 4*perDomain, 100*free, r.departure, r.change, r.busiest, r.readsPerMinute)
				}
			}
		})
	}
}

// TestMeasureNotices prints how soon all nodes know under which request three targets
// crashed, and what it takes, in fleets of several sizes on links of which callers leave a
// tenth.
func TestMeasureNotices(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, perDomain := range []int{8, 25, 74, 250} {
		simulateFleet(t, largeWithin, perDomain, func(t *testing.T, w *world) {
			w.mu.Lock()
			w.linkRate = smallLink / 10
			clear(w.noticed)
			w.mu.Unlock()
			w.crashThree(w.otherNodes(nil))
			begin := time.Now()
			for len(w.unaware(poison)) > 0 && time.Since(begin) < knownWithin {
				time.Sleep(10 * time.Millisecond)
			}
			known := time.Since(begin)
			time.Sleep(time.Second)
			most, all := 0, 0
			for _, bytes := range w.noticed {
				most = max(most, bytes)
				all += bytes
			}
			t.Logf("%d VMs: known by all %s after the third was told; busiest node %d bytes, mean %d", 4*perDomain, known, most, all/(4*perDomain))
		})
	}
}
