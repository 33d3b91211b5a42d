package slowstart

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a target that gets more than it tolerates because its node restarted: the
// ended process and the new one may each send their burst within the same second.
func TestTwoProcessesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate: rapid.Float64Range(0.5, 50).Draw(t, "rate"), Overage: rapid.Float64Range(1, 3).Draw(t, "overage"),
			Slack: rapid.Float64Range(2, 20).Draw(t, "slack"),
		}
		rate, atOnce := limit.Pace()
		assert.Assert(t, rate >= 0 && atOnce >= 1)
		if sent := rate + 2*float64(atOnce); sent > limit.Rate*limit.Overage+limit.Slack+1e-6 {
			t.Fatalf("%v requests in a second under %+v", sent, limit)
		}
	})
}

func TestTrackerIsCautiousUntilReport(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		desc     string
		events   func(tracker *Tracker)
		at       time.Duration
		limited  bool
		doubtful bool
	}{
		{"no sign of a restart", func(*Tracker) {}, 0, false, false},
		{"doubted", func(tracker *Tracker) { tracker.Doubt() }, time.Hour, true, true},
		{"warms up", func(tracker *Tracker) { tracker.Report(tracker.Ask(), now, time.Second) }, time.Second, true, false},
		{"has warmed up", func(tracker *Tracker) { tracker.Report(tracker.Ask(), now, time.Second) }, time.Second + warmupMargin, false, false},
		{"doubted and warm", func(tracker *Tracker) {
			tracker.Doubt()
			tracker.Report(tracker.Ask(), now, 0)
		}, 0, false, false},
		{"the answer is older than the doubt", func(tracker *Tracker) {
			question := tracker.Ask()
			tracker.Doubt()
			tracker.Report(question, now, 0)
		}, time.Hour, true, true},
		{"doubted while it warms up", func(tracker *Tracker) {
			tracker.Report(tracker.Ask(), now, time.Second)
			tracker.Doubt()
		}, time.Minute, true, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			tracker := &Tracker{}
			test.events(tracker)
			assert.Equal(t, tracker.Limited(now.Add(test.at)), test.limited)
			assert.Equal(t, tracker.Doubted(), test.doubtful)
		})
	}
}
