package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Requests and retries come in bursts of any size. In every interval of the window's
// length, wherever it begins, the retries must stay within the limits.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 3}
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(2, 20).Draw(t, "window")) * time.Second
		budget := NewFleetBudget(window, time.Time{})
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				budget.CountRequest(now, "s", now.Add(time.Second))
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 10).Draw(t, "retries") {
				if budget.AllowRetry(now, "s", limits) {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			retries, requests, halfBefore, windowBefore := 0, 0, 0, 0
			for _, e := range events {
				since := e.at.Sub(events[i].at)
				within := func(begin time.Duration) int {
					if since >= begin && since < begin+window {
						return 1
					}
					return 0
				}
				if e.retry {
					retries += within(0)
					continue
				}
				requests += within(0)
				halfBefore += within(-window / 2)
				windowBefore += within(-window)
			}
			// The rule of the operators: whichever of the three windows has most requests.
			most := max(requests, halfBefore, windowBefore)
			if float64(retries) > limits.Ratio*float64(most)+limits.Slack {
				t.Fatalf("%d retries for %d requests in %s", retries, most, window)
			}
		}
	})
}

func TestFleetBudgetExpires(t *testing.T) {
	limits := Limits{Slack: 2}
	budget := NewFleetBudget(0, time.Time{})
	now := time.Unix(1_000_000, 0)
	assert.Assert(t, budget.AllowRetry(now, "s", limits))
	assert.Assert(t, !budget.AllowRetry(now.Add(9*time.Second), "s", limits))
	assert.Assert(t, budget.AllowRetry(now.Add(11*time.Second), "s", limits))
}

// Two routes run at a target, mostly at the same time, and only one of them makes
// calls. No node can see which. Within some seconds nearly all calls must be
// attributed to that route.
func TestCallsAreAttributedToTheCallingRoute(t *testing.T) {
	budget := NewFleetBudget(0, time.Time{})
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	ordering := false
	for range 400 {
		deadline := now.Add(time.Second)
		budget.BeginRun(now, "browse", Run{Route: "browse", Deadline: deadline}, Limits{})
		for step := range 4 {
			if random.Float64() < 0.3 && !ordering {
				ordering = budget.BeginRun(now, "order", Run{Route: "order", Deadline: deadline}, Limits{})
			} else if random.Float64() < 0.3 && ordering {
				budget.EndRun(now, "order")
				ordering = false
			}
			now = now.Add(5 * time.Millisecond)
			if step == 2 {
				budget.CountRequest(now, "checks", now.Add(200*time.Millisecond))
			}
		}
		budget.EndRun(now, "browse")
		now = now.Add(5 * time.Millisecond)
	}
	browse, order := budget.callStats.route("browse").callsPerRun("checks"), budget.callStats.route("order").callsPerRun("checks")
	assert.Assert(t, browse > 0.9 && order < 0.1, "%.2f and %.2f calls per run", browse, order)
}

// A caller's own request has a later deadline than any run at the target. It can't
// be a call and must not count as a retry, even if all runs are retries.
func TestCallerRequestsAreNotAttributedToRuns(t *testing.T) {
	budget := NewFleetBudget(0, time.Time{})
	now := time.Unix(1_000_000, 0)
	limits := Limits{Slack: 10}
	assert.Assert(t, budget.BeginRun(now, "1", Run{Route: "r", RetryProbability: 1, Deadline: now.Add(time.Second)}, limits))
	assert.Equal(t, budget.CountRequest(now, "s", now.Add(2*time.Second)), 0.0)
	assert.Equal(t, budget.CountRequest(now, "s", now.Add(200*time.Millisecond)), 1.0)
	assert.Equal(t, budget.CountRequest(now, "s", time.Time{}), 1.0)
}
