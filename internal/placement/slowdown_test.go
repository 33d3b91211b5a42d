package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/targetspeed"
)

func slowLoad(slowdown float64, age time.Duration) Load {
	return Load{Running: 6, Waiting: 3, Slots: 6, Hold: 200 * time.Millisecond, Slowdown: slowdown, SlowdownAge: age, SlowdownPersistence: 500 * time.Millisecond}
}

// Guards against a slowdown that outlives its reports, is taken from the older of two reports, or
// stays after a restart.
func TestSlowdownUnderFailures(t *testing.T) {
	ms := time.Millisecond
	usual := 200 * ms
	for _, test := range []struct {
		desc  string
		loads []Load
		// later is the time from the last report to the choice.
		later time.Duration
		want  float64
	}{
		{"not reported", []Load{slowLoad(0, 0)}, 0, 1},
		{"slow", []Load{slowLoad(2, 0)}, 0, 2},
		{"fast", []Load{slowLoad(0.5, 0)}, 0, 0.5},
		{"decays when reports are lost", []Load{slowLoad(2, 0)}, 500 * ms, 1 + 1/math.E},
		{"a stale report has no effect", []Load{slowLoad(2, 0)}, maxReportAge, 1},
		{"an overtaken report is ignored", []Load{slowLoad(2, 5*ms), slowLoad(1, 80*ms)}, 0, 2},
		{"a newer report counts", []Load{slowLoad(2, 80*ms), slowLoad(1, 5*ms)}, 0, 1},
		{"a restarted node reports none", []Load{slowLoad(2, 0), slowLoad(0, 0)}, 0, 1},
		{"and then again", []Load{slowLoad(2, 0), slowLoad(0, 0), slowLoad(3, time.Second)}, 0, 3},
		{"without persistence, the known one", []Load{slowLoad(3, 0), {Slots: 6, Slowdown: 2}}, 500 * ms, 1 + 1/math.E},
	} {
		t.Run(test.desc, func(t *testing.T) {
			s := &Stats{Slots: 6}
			for _, load := range test.loads {
				s.RecordLoad(start, load)
			}
			got := s.Hold(start.Add(test.later), usual)
			assert.Assert(t, math.Abs(float64(got)/float64(usual)-test.want) < 1e-6, "%v", got)
		})
	}
}

// Guards against a slowdown that scales only a part of the time until a response, and against one
// that counts twice because it is in the observed hold times as well.
func TestSlowdownScalesWaitAndHoldOnce(t *testing.T) {
	r := &Request{Route: RouteStats{Hold: 200 * time.Millisecond}}
	usual, slow := target(SameVM, slowLoad(1, 0)), target(SameVM, slowLoad(2.5, 0))
	assert.Equal(t, slow.ExpectedLatency(start, r, 1), 5*usual.ExpectedLatency(start, r, 1)/2)
	for range 50 {
		took := time.Duration(2.5 * float64(r.Route.Hold))
		held := targetspeed.AtMeanSpeed(took, 2.5, 2.5)
		slow.RecordResponse(start, r.Route.Observe(held, slow.HoldFactor(), 0), 0)
	}
	assert.Equal(t, slow.ExpectedLatency(start, r, 1), 5*usual.ExpectedLatency(start, r, 1)/2)
}

// BenchmarkCost measures the cost of a target with and without a report of its slowdown.
func BenchmarkCost(b *testing.B) {
	for _, test := range []struct {
		name     string
		slowdown float64
	}{{"not-reported", 0}, {"reported", 2}} {
		b.Run(test.name, func(b *testing.B) {
			s := target(SameDomain, slowLoad(test.slowdown, 0))
			b.ReportAllocs()
			for b.Loop() {
				s.Cost(start, lookup)
			}
		})
	}
}
