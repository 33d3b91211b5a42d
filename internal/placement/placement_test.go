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
	s.RecordLoad(start, load)
	return s
}

// lookup takes 160 ms, returns 5 KB and has 600 ms left; archive takes 130 ms, returns
// 90 KB and has 500 ms left.
var (
	lookup  = &Request{Route: RouteStats{Hold: 160 * time.Millisecond, ResponseBytes: 5e3}, TimeLeft: 600 * time.Millisecond, HalfBytes: DefaultHalfBytes}
	archive = &Request{Route: RouteStats{Hold: 130 * time.Millisecond, ResponseBytes: 90e3}, TimeLeft: 500 * time.Millisecond, HalfBytes: DefaultHalfBytes}
)

func TestCheaperTarget(t *testing.T) {
	idle := Load{Running: 2, Slots: 12, Hold: 160 * time.Millisecond}
	full := Load{Running: 12, Waiting: 36, Slots: 12, Hold: 160 * time.Millisecond}
	busy := Load{Running: 12, Waiting: 6, Slots: 12, Hold: 130 * time.Millisecond}
	failing := Load{Running: 2, Slots: 12, Hold: 160 * time.Millisecond, FailureRate: 0.5}
	partlyFailing := Load{Running: 2, Slots: 12, Hold: 160 * time.Millisecond, FailureRate: 0.25}
	congested := Load{Running: 2, Slots: 12, Hold: 130 * time.Millisecond, LinkWait: 2 * time.Second, LinkRate: 1.6e6}
	slow := target(SameDomain, idle)
	for range 50 {
		slow.RecordResponse(start, 5, time.Millisecond)
	}
	cold := target(SameDomain, idle)
	cold.WarmAt = start.Add(time.Minute)
	for _, test := range []struct {
		desc              string
		request           *Request
		cheaper, costlier *Stats
	}{
		{"near before far if both are idle", lookup, target(SameDomain, idle), target(OtherRegion, idle)},
		{"far before near if the near one would be late", lookup, target(OtherRegion, idle), target(SameDomain, full)},
		{"an archive waits instead of leaving its domain", archive, target(SameDomain, busy), target(SameRegion, idle)},
		{"an archive waits instead of crossing regions", archive, target(SameDomain, busy), target(OtherRegion, idle)},
		{"an archive leaves its domain instead of being late", archive, target(SameRegion, idle), target(SameDomain, full)},
		{"the nearer target outside the domain", archive, target(SameRegion, idle), target(OtherRegion, idle)},
		{"a lookup stays in its domain if it is in time", lookup, target(SameDomain, busy), target(SameRegion, idle)},
		{"healthy before failing", lookup, target(SameRegion, idle), target(SameDomain, failing)},
		{"partly failing in its domain before healthy outside", lookup, target(SameDomain, partlyFailing), target(SameRegion, idle)},
		{"average speed before five times slower", lookup, target(SameRegion, idle), slow},
		{"warm before cold", lookup, target(SameDomain, idle), cold},
		{"an archive avoids a congested link", archive, target(SameRegion, idle), target(SameDomain, congested)},
		{"a lookup ignores a congested link", lookup, target(SameDomain, congested), target(SameRegion, idle)},
		{"an archive on its own VM needs no link", archive, target(SameVM, congested), target(SameDomain, idle)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			cheaper, costlier := test.cheaper.Cost(start, test.request), test.costlier.Cost(start, test.request)
			assert.Assert(t, cheaper < costlier, "costs %.3f and %.3f", cheaper, costlier)
		})
	}
}

// A target reports that it is full, and no further report arrives. The report must
// expire, so that the target is tried again.
func TestOldReportsExpire(t *testing.T) {
	s := target(SameDomain, Load{Running: 12, Waiting: 48, Slots: 12, Hold: time.Second, FailureRate: 1})
	now := s.Cost(start, lookup)
	later := s.Cost(start.Add(10*time.Second), lookup)
	assert.Assert(t, later < now/2, "cost %.3f, later %.3f", now, later)
}

// A target refuses all work. The backoff must grow with each refusal, and one response
// must reset it.
func TestBackoffGrows(t *testing.T) {
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
	assert.Assert(t, s.Available(now.Add(minBackoff)))
}

// Requests sent by this node since the last load report must count at once. Otherwise a
// whole burst goes to one target before it reports that it is full.
func TestUnreportedRequestsRaiseCost(t *testing.T) {
	s := target(SameDomain, Load{Running: 10, Slots: 12, Hold: 160 * time.Millisecond})
	before := s.Cost(start, lookup)
	for range 20 {
		s.Begin()
	}
	assert.Assert(t, s.Cost(start, lookup) > before+0.05)
}

// Guards against choosing a nearer target although one farther away costs less: the
// search by distance relies on the lower bound.
func TestCostIsAtLeastMinimumForDistance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		r := Request{
			Route:    RouteStats{Hold: time.Duration(random.IntN(500)) * time.Millisecond, ResponseBytes: float64(random.IntN(200e3))},
			TimeLeft: time.Duration(random.IntN(3000)-500) * time.Millisecond, RequestBytes: float64(random.IntN(10e3)),
			HalfBytes: []float64{0, 1e3, DefaultHalfBytes}[random.IntN(3)],
		}
		stats := Stats{Distance: Distance(random.IntN(int(NumDistances))), Slots: random.IntN(10), openAttempts: random.IntN(30), failureRate: random.Float64()}
		cost := stats.Cost(start, &r)
		assert.Assert(t, cost >= r.MinCost(stats.Distance), "%v costs %v", stats, cost)
		assert.Assert(t, stats.Distance == SameVM || r.MinCost(stats.Distance) >= r.MinCost(stats.Distance-1))
	}
}
