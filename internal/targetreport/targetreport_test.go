package targetreport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// Guards against a limit that is lost because a response sent before it is received after it, and
// against one that outlives the target's need.
func TestLimitHoldsUntilLaterResponseReportsNone(t *testing.T) {
	limit := func(l float64) Report { return Report{Limited: true, Limit: l} }
	type response struct {
		sent, received int
		report         Report
	}
	for _, test := range []struct {
		desc      string
		responses []response
		want      Report
	}{
		{"no limit", []response{{0, 10, Report{}}}, Report{}},
		{"a limit", []response{{0, 10, limit(9.5)}}, limit(9.5)},
		{"an overtaken response without it", []response{{0, 10, limit(9.5)}, {5, 11, Report{}}}, limit(9.5)},
		{"the limit is lifted", []response{{0, 10, limit(9.5)}, {11, 20, Report{}}}, Report{}},
		{"another limit", []response{{0, 10, limit(9.5)}, {5, 11, limit(3)}}, limit(3)},
		{"a limit of zero", []response{{0, 10, limit(0)}}, limit(0)},
		{"lifted and named again", []response{{0, 10, limit(9.5)}, {11, 20, Report{}}, {12, 21, limit(4)}}, limit(4)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var tracker Tracker
			for _, r := range test.responses {
				tracker.Record(at(r.sent), at(r.received), r.report)
			}
			assert.DeepEqual(t, tracker.Current(), test.want)
		})
	}
}

// Guards against requests to a target that said once that it leaves.
func TestLeavingIsFinal(t *testing.T) {
	var tracker Tracker
	tracker.Record(at(0), at(10), Report{Leaving: true})
	tracker.Record(at(20), at(30), Report{})
	tracker.Record(at(40), at(50), Report{Leaving: true})
	assert.Assert(t, tracker.Current().Leaving)
	assert.Equal(t, tracker.LeavingSince(), at(10))
}

// Guards against a target that gets more than it takes, or that is never asked again.
func TestPaceKeepsToLimit(t *testing.T) {
	for _, test := range []struct {
		limit, perSecond float64
		burst            int
	}{
		{0, minRate, 1},
		{0.2, minRate, 1},
		{9.6, 9.6, 2},
		{400, 400, 100},
		{1e300, maxRate, maxRate / 4},
	} {
		perSecond, burst := Report{Limited: true, Limit: test.limit}.Pace()
		assert.Equal(t, perSecond, test.perSecond)
		assert.Equal(t, burst, test.burst)
	}
}

// Guards against a limit that other nodes remember and the target has lifted.
func TestAdoptedLimitHoldsUntilResponse(t *testing.T) {
	var tracker Tracker
	tracker.AdoptLimit(at(0), 9)
	tracker.AdoptLimit(at(1), 5)
	tracker.AdoptLimit(at(2), 7)
	assert.DeepEqual(t, tracker.Current(), Report{Limited: true, Limit: 5})
	tracker.Record(at(3), at(4), Report{})
	assert.DeepEqual(t, tracker.Current(), Report{})
	tracker.AdoptLimit(at(5), 5)
	assert.DeepEqual(t, tracker.Current(), Report{})
}
