package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a full queue at a fast target that is preferred to a free slot, and against an effect
// on services whose targets don't report how long work takes.
func TestExpectedRefusalCosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		desc     string
		distance Distance
		slowdown float64
		request  Request
		want     float64
	}{
		{"wait as long as allowed", SameDomain, 1, Request{TimeLeft: 550 * time.Millisecond}, 0.5},
		{"wait of half of that", SameDomain, 1, Request{TimeLeft: 800 * time.Millisecond}, 0.2},
		{"late", SameDomain, 1, Request{TimeLeft: time.Minute, Late: true, LateWait: 250 * time.Millisecond}, 0.5},
		{"no wait allowed", SameDomain, 1, Request{TimeLeft: 300 * time.Millisecond}, 1},
		{"not reported", SameDomain, 0, Request{TimeLeft: 300 * time.Millisecond}, 0},
		{"in another region", OtherRegion, 1, Request{TimeLeft: 550 * time.Millisecond}, 0.5},
	} {
		t.Run(test.desc, func(t *testing.T) {
			s := &Stats{Distance: test.distance, Slots: 4, Service: &ServiceLoad{}}
			s.RecordLoad(now, Load{Running: 4, Waiting: 4, Slots: 4, Hold: 200 * time.Millisecond, Slowdown: test.slowdown})
			test.request.Route.Hold = 200 * time.Millisecond
			assert.Equal(t, s.refusalProbability(&test.request, s.expectedWait(now, 0), 200*time.Millisecond), test.want)
		})
	}
	free := &Stats{Distance: SameDomain, Slots: 4, Service: &ServiceLoad{reportsSlowdown: true}}
	assert.Equal(t, free.refusalProbability(&Request{}, 0, time.Second), 0.0)
}
