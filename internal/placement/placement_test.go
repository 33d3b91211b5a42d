package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func target(distance Distance, load Load) *Stats {
	s := &Stats{Distance: distance, Slots: load.Slots}
	s.UpdateLoad(start, load)
	return s
}

// A lookup of 160 ms and 5 KB that is wanted in 600 ms, and an archive of 130 ms and
// 90 KB that is wanted in 500 ms.
var (
	lookup  = &Request{Route: RouteStats{Hold: 160 * time.Millisecond, ResponseBytes: 5e3}, TimeLeft: 600 * time.Millisecond, HalfBytes: DefaultHalfBytes}
	archive = &Request{Route: RouteStats{Hold: 130 * time.Millisecond, ResponseBytes: 90e3}, TimeLeft: 500 * time.Millisecond, HalfBytes: DefaultHalfBytes}
)

func TestCheaperTarget(t *testing.T) {
	idle := Load{Running: 2, Slots: 12, Hold: 160 * time.Millisecond}
	full := Load{Running: 12, Waiting: 36, Slots: 12, Hold: 160 * time.Millisecond}
	busy := Load{Running: 12, Waiting: 6, Slots: 12, Hold: 130 * time.Millisecond}
	ill := Load{Running: 2, Slots: 12, Hold: 160 * time.Millisecond, FailureRate: 0.5}
	shaky := Load{Running: 2, Slots: 12, Hold: 160 * time.Millisecond, FailureRate: 0.25}
	choked := Load{Running: 2, Slots: 12, Hold: 130 * time.Millisecond, LinkWait: 2 * time.Second, LinkRate: 1.6e6}
	slow := target(SameDomain, idle)
	for range 50 {
		slow.RecordResponse(start, 5, time.Millisecond)
	}
	cold := target(SameDomain, idle)
	cold.WarmAt = start.Add(time.Minute)
	for _, test := range []struct {
		desc            string
		request         *Request
		cheaper, dearer *Stats
	}{
		{"near before far when both are idle", lookup, target(SameDomain, idle), target(OtherRegion, idle)},
		{"far before near when the near one would be late", lookup, target(OtherRegion, idle), target(SameDomain, full)},
		{"an archive waits rather than leave its domain", archive, target(SameDomain, busy), target(SameRegion, idle)},
		{"an archive waits rather than cross regions", archive, target(SameDomain, busy), target(OtherRegion, idle)},
		{"an archive leaves its domain rather than be late", archive, target(SameRegion, idle), target(SameDomain, full)},
		{"the faster way out of the domain", archive, target(SameRegion, idle), target(OtherRegion, idle)},
		{"a lookup stays in its domain while it can", lookup, target(SameDomain, busy), target(SameRegion, idle)},
		{"sound before ill", lookup, target(SameRegion, idle), target(SameDomain, ill)},
		{"one that fails a few times in its domain", lookup, target(SameDomain, shaky), target(SameRegion, idle)},
		{"as fast as others before five times slower", lookup, target(SameRegion, idle), slow},
		{"warm before cold", lookup, target(SameDomain, idle), cold},
		{"an archive avoids a choked link", archive, target(SameRegion, idle), target(SameDomain, choked)},
		{"a lookup doesn't mind a choked link", lookup, target(SameDomain, choked), target(SameRegion, idle)},
		{"an archive on its own VM needs no link", archive, target(SameVM, choked), target(SameDomain, idle)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			cheaper, dearer := test.cheaper.Cost(start, test.request), test.dearer.Cost(start, test.request)
			assert.Assert(t, cheaper < dearer, "%.3f and %.3f", cheaper, dearer)
		})
	}
}

// A target says that it is full and is then not heard of. Its word fades, so
// that it is tried again.
func TestOldWordsFade(t *testing.T) {
	s := target(SameDomain, Load{Running: 12, Waiting: 48, Slots: 12, Hold: time.Second, FailureRate: 1})
	now := s.Cost(start, lookup)
	later := s.Cost(start.Add(10*time.Second), lookup)
	assert.Assert(t, later < now/2, "%.3f then %.3f", now, later)
}

// A target refuses all work. It is left alone for longer and longer, and one
// answer ends that.
func TestAvoidedLongerAndLonger(t *testing.T) {
	s := target(SameDomain, Load{Slots: 12})
	now := start
	last := time.Duration(0)
	for range 3 {
		s.BackOff(now)
		until := now
		for !s.Available(until) {
			until = until.Add(10 * time.Millisecond)
		}
		assert.Assert(t, until.Sub(now) > last)
		last = until.Sub(now)
		now = until
	}
	s.RecordResponse(now, 1, time.Millisecond)
	s.BackOff(now)
	assert.Assert(t, s.Available(now.Add(avoidFirst)))
}

// What this node sent since the target's last word counts at once: a burst would
// otherwise go to one target until it says that it is full.
func TestOwnBurstCountsAtOnce(t *testing.T) {
	s := target(SameDomain, Load{Running: 10, Slots: 12, Hold: 160 * time.Millisecond})
	before := s.Cost(start, lookup)
	for range 20 {
		s.Begin()
	}
	assert.Assert(t, s.Cost(start, lookup) > before+0.05)
}

// Guards against a nearer target that is taken though one outside costs less: whoever looks
// at targets by distance relies on the bound.
func TestNoTargetCostsLessThanTheLeastOfItsDistance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		r := Request{
			Route:    RouteStats{Hold: time.Duration(random.IntN(500)) * time.Millisecond, ResponseBytes: float64(random.IntN(200e3))},
			TimeLeft: time.Duration(random.IntN(3000)-500) * time.Millisecond, RequestBytes: float64(random.IntN(10e3)),
			HalfBytes: []float64{0, 1e3, DefaultHalfBytes}[random.IntN(3)],
		}
		stats := Stats{Distance: Distance(random.IntN(int(NumDistances))), Slots: random.IntN(10), open: random.IntN(30), failing: random.Float64()}
		cost := stats.Cost(start, &r)
		assert.Assert(t, cost >= r.MinCost(stats.Distance), "%v costs %v", stats, cost)
		assert.Assert(t, stats.Distance == SameVM || r.MinCost(stats.Distance) >= r.MinCost(stats.Distance-1))
	}
}
