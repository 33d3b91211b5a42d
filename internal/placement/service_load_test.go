package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that leaves a target with a short wait for one that seems idle only
// because it hasn't reported lately, while the service as a whole is overloaded.
func TestTargetWithoutReportCountsAsLoadedAsItsService(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	service := &ServiceLoad{}
	near := &Stats{Distance: SameDomain, Slots: 6, Service: service}
	far := &Stats{Distance: OtherRegion, Slots: 6, Service: service}
	request := &Request{Route: RouteStats{Hold: 200 * time.Millisecond}, TimeLeft: 600 * time.Millisecond, HalfBytes: DefaultHalfBytes}
	assert.Assert(t, near.Cost(now, request) < far.Cost(now, request))
	for range 50 {
		near.RecordLoad(now, Load{Running: 6, Waiting: 6, Slots: 6, Hold: 200 * time.Millisecond})
	}
	assert.Assert(t, near.Cost(now, request) < far.Cost(now, request), "the far one is probably as full")
	later := now.Add(3 * time.Second)
	assert.Equal(t, far.expectedWait(later, time.Second), time.Duration(0), "without reports, targets are tried again")
}
