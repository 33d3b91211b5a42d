package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a target that gets more requests in some second than its start rate allows,
// whatever the order of offers, ends and ticks.
func TestStartRateHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := StartRate{PerSecond: rapid.Float64Range(1, 20).Draw(t, "rate"), Burst: rapid.IntRange(1, 5).Draw(t, "burst")}
		q := NewQueue(Terms{Slots: 6, QueuePerSlot: 4, Shares: map[string]Share{"a": {Guaranteed: 1, Limit: 1}}}, 1)
		now := time.Unix(1_000_000, 0)
		q.SetStartRate(now, rate)
		var starts []time.Time
		var running []string
		note := func(changes Changes) {
			for _, r := range changes.Started {
				starts = append(starts, now)
				running = append(running, r.ID)
			}
		}
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Millisecond)
			switch event := rapid.IntRange(0, 3).Draw(t, "event"); {
			case event < 2:
				_, changes := q.Offer(now, Request{ID: fmt.Sprint(i), Customer: "a", Deadline: now.Add(time.Minute)})
				note(changes)
			case event == 2 && len(running) > 0:
				ended := running[0]
				running = running[1:]
				note(q.Release(now, ended))
			default:
				note(q.Tick(now))
			}
		}
		allowed := float64(rate.Burst) + rate.PerSecond
		for i, first := range starts {
			count := 0
			for _, start := range starts[i:] {
				if start.Sub(first) < time.Second {
					count++
				}
			}
			if float64(count) > allowed+1e-6 {
				t.Fatalf("%d starts in a second at %v", count, rate)
			}
		}
	})
}

// Guards against requests that wait behind a start rate although their answers would be late:
// they must be refused when they arrive, with the time at which one more can start.
func TestStartRateCountsInWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := NewQueue(Terms{Slots: 6, QueuePerSlot: 4, Shares: map[string]Share{"a": {Guaranteed: 1, Limit: 1}}}, 1)
	q.SetStartRate(now, StartRate{PerSecond: 10, Burst: 2})
	verdicts := map[Verdict]int{}
	for i := range 8 {
		decision, _ := q.Offer(now, Request{ID: fmt.Sprint(i), Customer: "a", Deadline: now.Add(320 * time.Millisecond)})
		verdicts[decision.Verdict]++
		if decision.Verdict == Refused {
			assert.Assert(t, decision.RetryAfter >= minRetryAfter)
		}
	}
	assert.DeepEqual(t, verdicts, map[Verdict]int{Admitted: 2, Queued: 3, Refused: 3})
	assert.Equal(t, q.UntilStart(now), 100*time.Millisecond)
	started := 0
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		started += len(q.Tick(now).Started)
	}
	assert.Equal(t, started, 3)
	q.SetStartRate(now, StartRate{})
	assert.Equal(t, q.UntilStart(now), time.Duration(0))
}
