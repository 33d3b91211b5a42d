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

// entryOfFleet is a request at an entry node of a fleet whose service has so many targets
// in nine failure domains of three regions.
func entryOfFleet(targets int) *flight {
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
	p.SetPicture(&Picture{Services: map[string][]*mesh.Member{"s": members}, Nodes: targets})
	route := testRoute("/idempotent/", mesh.Idempotent)
	return &flight{proxy: p, route: &route, service: "s", tried: map[string]bool{}, first: time.Now(), deadline: time.Now().Add(time.Minute)}
}

// BenchmarkChoice is what an entry node spends on the choice of a target, under its mutex.
func BenchmarkChoice(b *testing.B) {
	for _, targets := range []int{6, 40, 157, 1600} {
		b.Run(fmt.Sprintf("targets-%d", targets), func(b *testing.B) {
			f := entryOfFleet(targets)
			b.ReportAllocs()
			for b.Loop() {
				if f.choose(f.first) == nil {
					b.Fatal("none")
				}
			}
		})
	}
}

// Guards against a choice that leaves a target further away alone which is the cheaper
// one: targets of the own failure domain are full, left alone or tried.
func TestChoiceGoesOutsideWhereNearTargetsAreWorse(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		desc    string
		near    func(f *flight, c candidate)
		outside bool
	}{
		{"near targets are free", func(*flight, candidate) {}, false},
		{"near targets are surely late", func(_ *flight, c candidate) {
			c.stats.UpdateLoad(now, placement.Load{Running: 9, Waiting: 30, Slots: 9, Hold: time.Second})
		}, true},
		{"near targets fail", func(_ *flight, c candidate) {
			for range 30 {
				c.stats.RecordFailure(now)
			}
		}, true},
		{"near targets are left alone", func(_ *flight, c candidate) { c.stats.BackOff(now) }, true},
		{"near targets were tried", func(f *flight, c candidate) { f.tried[c.member.ID] = true }, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := entryOfFleet(157)
			f.first = now
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
