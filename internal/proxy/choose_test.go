package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// newChoosingForwarder returns a request at an entry node whose service has the given
// number of targets, in nine failure domains of three regions.
func newChoosingForwarder(targets int) *forwarder {
	regions := map[string]string{}
	for domain := range 9 {
		regions[fmt.Sprint("d", domain)] = fmt.Sprint("r", domain%3)
	}
	p := New(Config{
		FailureDomain: "d0", Region: "r0", Regions: regions, TargetAddress: "10.0.0.0:80", PeerPort: 9, HalfBytes: placement.DefaultHalfBytes,
	}, Ports{
		Clock: wallClock{}, Peers: exchange.NewPool(exchange.Options{}), Target: exchange.NewPool(exchange.Options{}),
		Log: &log.Logger{Level: log.FatalLevel}, Meter: metrics.New(),
	})
	var members []*mesh.Member
	for i := range targets {
		members = append(members, &mesh.Member{Target: mesh.Target{
			ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			FailureDomain: fmt.Sprint("d", i%9), Slots: 9, State: mesh.Ready,
		}})
	}
	p.SetSnapshot(&Snapshot{Services: map[string][]*mesh.Member{"s": members}, ListedVMs: targets})
	route := testRoute("/idempotent/", mesh.Idempotent)
	return &forwarder{proxy: p, route: &route, service: "s", tried: map[string]bool{}, firstAt: time.Now(), deadline: time.Now().Add(time.Minute)}
}

// BenchmarkChoice measures the choice of a target by an entry node, which is made under
// its mutex.
func BenchmarkChoice(b *testing.B) {
	for _, targets := range []int{6, 40, 157, 1600} {
		b.Run(fmt.Sprintf("targets-%d", targets), func(b *testing.B) {
			f := newChoosingForwarder(targets)
			b.ReportAllocs()
			for b.Loop() {
				if f.choose(f.firstAt) == nil {
					b.Fatal("none")
				}
			}
		})
	}
}

// Guards against skipping a cheaper target that is further away. Targets in the node's
// own failure domain are full, failing, in backoff or already tried.
func TestFartherTargetIsChosenIfCheaper(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		desc    string
		near    func(f *forwarder, c candidate)
		outside bool
	}{
		{"near targets are free", func(*forwarder, candidate) {}, false},
		{"near targets are certain to be late", func(_ *forwarder, c candidate) {
			c.stats.RecordLoad(now, placement.Load{Running: 9, Waiting: 30, Slots: 9, Hold: time.Second})
		}, true},
		{"near targets fail", func(_ *forwarder, c candidate) {
			for range 30 {
				c.stats.RecordFailure(now)
			}
		}, true},
		{"near targets are in backoff", func(_ *forwarder, c candidate) { c.stats.BackOff(now) }, true},
		{"near targets were tried", func(f *forwarder, c candidate) { f.tried[c.member.ID] = true }, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newChoosingForwarder(157)
			f.firstAt = now
			f.tried["t0"] = true
			for distance := range placement.SameRegion {
				for _, c := range f.proxy.candidates["s"][distance] {
					test.near(f, c)
				}
			}
			got := f.choose(now)
			assert.Assert(t, got != nil)
			assert.Equal(t, f.proxy.distance(got) > placement.SameDomain, test.outside, got.FailureDomain)
		})
	}
}

// Guards against large responses that cross regions while every link to the service is saturated:
// their callers wait there as well, and the traffic between regions grows. It also guards against
// staying in a region whose targets fail or can't be reached.
func TestLargeResponsesOfLinkBoundServicesStayInRegion(t *testing.T) {
	now := time.Now()
	const large, small = 90e3, 2e3
	saturated := placement.Load{Running: 9, Waiting: 30, Slots: 9, Hold: time.Second, LinkWait: 2 * time.Second, LinkRate: 1e6}
	for _, test := range []struct {
		desc   string
		size   float64
		load   placement.Load
		near   func(f *forwarder, c candidate)
		leaves bool
	}{
		{"links are saturated", large, saturated, func(*forwarder, candidate) {}, false},
		{"targets of the region were tried", large, saturated, func(f *forwarder, c candidate) { f.tried[c.member.ID] = true }, false},
		{"the response is small", small, saturated, func(*forwarder, candidate) {}, true},
		{"links are free, slots are not", large, placement.Load{Running: 9, Waiting: 60, Slots: 9, Hold: time.Second}, func(*forwarder, candidate) {}, true},
		{"targets of the region are in backoff", large, saturated, func(_ *forwarder, c candidate) { c.stats.BackOff(now) }, true},
		{"targets of the region fail", large, saturated, func(_ *forwarder, c candidate) {
			for range 30 {
				c.stats.RecordFailure(now)
			}
		}, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newChoosingForwarder(157)
			f.proxy.config.KeepLargeInRegion = true
			f.firstAt, f.deadline = now, now.Add(time.Second)
			f.proxy.routeStatsFor(f.route).ResponseBytes = test.size
			for distance := range placement.OtherRegion {
				for _, c := range f.proxy.candidates["s"][distance] {
					c.stats.RecordLoad(now, test.load)
					test.near(f, c)
				}
			}
			got := f.choose(now)
			assert.Equal(t, got != nil && f.proxy.distance(got) == placement.OtherRegion, test.leaves, "%v", got)
		})
	}
}

// Guards against requests that leave the region in a shortage of the whole service, where other
// regions are as full, and against staying there without a usable target.
func TestRequestsStayInRegionInAShortage(t *testing.T) {
	now := time.Now()
	full := placement.Load{Running: 9, Waiting: 30, Slots: 9, Hold: time.Second, Slowdown: 1}
	for _, test := range []struct {
		desc   string
		short  bool
		near   func(c candidate)
		leaves bool
	}{
		{"no shortage", false, func(candidate) {}, true},
		{"a shortage", true, func(candidate) {}, false},
		{"a shortage, the region's targets are in backoff", true, func(c candidate) { c.stats.BackOff(now) }, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newChoosingForwarder(157)
			f.firstAt, f.deadline = now, now.Add(2*time.Second)
			for distance, group := range f.proxy.candidates["s"] {
				for _, c := range group {
					if placement.Distance(distance) < placement.OtherRegion {
						c.stats.RecordLoad(now, full)
						test.near(c)
					}
				}
			}
			f.shortage = f.proxy.shortageOf("s")
			for range 20 {
				f.shortage.tracker.RecordFirst(now, 0, !test.short)
			}
			got := f.choose(now)
			assert.Equal(t, got != nil && f.proxy.distance(got) == placement.OtherRegion, test.leaves, "%v", got)
		})
	}
}
