package admission

import (
	"fmt"
	"math/rand/v2"
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

// Guards against a target that gets a new burst, or a start out of schedule, with each change of
// its rate, so that a rate that changes often limits nothing.
func TestChangingStartRateLimitsStarts(t *testing.T) {
	rate := func(perSecond float64, burst int) StartRate { return StartRate{PerSecond: perSecond, Burst: burst} }
	for _, test := range []struct {
		desc  string
		rates []StartRate
		most  StartRate
	}{
		{"slightly different rates", []StartRate{rate(10, 1), rate(10.1, 1), rate(9.9, 1)}, rate(10.1, 1)},
		{"different bursts", []StartRate{rate(10, 3), rate(10, 1)}, rate(10, 3)},
		{"a much lower rate", []StartRate{rate(100, 5), rate(2, 1)}, rate(100, 5)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			started := 0
			runStarts(test.rates, 100, 10*time.Millisecond, func(count int) { started += count })
			assert.Assert(t, float64(started) <= float64(test.most.Burst)+test.most.PerSecond, "%d starts in a second", started)
		})
	}
}

// Guards against a new burst for a target that reports a limit again and again, and none between.
func TestLimitAfterUnlimitedStartsGivesNoBurst(t *testing.T) {
	q := newStartQueue()
	now := time.Unix(1_000_000, 0)
	_, changes := q.Offer(now, Request{ID: "before", Customer: "a", Deadline: now.Add(time.Minute)})
	assert.Equal(t, len(changes.Started), 1)
	q.SetStartRate(now, StartRate{PerSecond: 10, Burst: 3})
	for i := range 3 {
		q.Offer(now, Request{ID: fmt.Sprint(i), Customer: "a", Deadline: now.Add(time.Minute)})
	}
	assert.Equal(t, q.Running(), 1)
	assert.Equal(t, q.UntilStart(now), 100*time.Millisecond)
}

func newStartQueue() *Queue {
	return NewQueue(Terms{Slots: 200, QueuePerSlot: 4, Shares: map[string]Share{"a": {Guaranteed: 1, Limit: 1}}}, 1)
}

// runStarts offers a request at each step, with one rate after another, and reports the starts.
func runStarts(rates []StartRate, steps int, step time.Duration, onStart func(count int)) {
	q := newStartQueue()
	now := time.Unix(1_000_000, 0)
	for i := range steps {
		onStart(len(q.SetStartRate(now, rates[i%len(rates)]).Started))
		_, changes := q.Offer(now, Request{ID: fmt.Sprint(i), Customer: "a", Deadline: now.Add(time.Minute)})
		onStart(len(changes.Started))
		now = now.Add(step)
	}
}

// Guards against a target that gets fewer requests than its start rate allows while callers are
// refused, and against requests that start too late.
func TestStartRateIsUsedUnderOverload(t *testing.T) {
	const (
		seconds, offered = 60, 30.0
		hold, patience   = 160 * time.Millisecond, 360 * time.Millisecond
	)
	rate := StartRate{PerSecond: 10, Burst: 2}
	q := NewQueue(Terms{Slots: 12, QueuePerSlot: 4, Shares: map[string]Share{"a": {Guaranteed: 1, Limit: 1}}}, 1)
	random := rand.New(rand.NewPCG(1, 0))
	begin := time.Unix(1_000_000, 0)
	q.SetStartRate(begin, rate)
	next := begin
	ends := map[string]time.Time{}
	started := 0
	for now := begin; now.Before(begin.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
		note := func(changes Changes) {
			for _, r := range changes.Started {
				assert.Assert(t, !now.After(r.Deadline), "started %v after its deadline", now.Sub(r.Deadline))
				ends[r.ID] = now.Add(hold)
				started++
			}
		}
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
				note(q.Release(now, id))
			}
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / offered * float64(time.Second))) {
			_, changes := q.Offer(now, Request{ID: fmt.Sprint(next.UnixNano()), Customer: "a", Deadline: now.Add(patience)})
			note(changes)
		}
		note(q.Tick(now))
	}
	assert.Assert(t, float64(started) >= 0.95*rate.PerSecond*seconds, "%d starts", started)
	assert.Assert(t, float64(started) <= rate.PerSecond*seconds+float64(rate.Burst), "%d starts", started)
}
