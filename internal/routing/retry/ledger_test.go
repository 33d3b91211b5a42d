package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Requests and repeats come in bursts of any size. In every span of the window's
// length, wherever it begins, the repeats stay within the terms.
func TestLedgerHoldsInEverySpan(t *testing.T) {
	terms := Limits{Ratio: 0.2, Slack: 3}
	rapid.Check(t, func(t *rapid.T) {
		span := time.Duration(rapid.IntRange(2, 20).Draw(t, "span")) * time.Second
		l := NewFleetBudget(span)
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				l.CountRequest(now, "s", now.Add(time.Second))
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 10).Draw(t, "repeats") {
				if l.AllowRetry(now, "s", terms) {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			requests, repeats := 0, 0
			// The users count requests of this window or of the one before.
			for _, e := range events {
				since := e.at.Sub(events[i].at)
				if since >= 0 && since < span && e.repeat {
					repeats++
				}
				if since >= -span && since < span && !e.repeat {
					requests++
				}
			}
			if float64(repeats) > terms.Ratio*float64(requests)+terms.Slack {
				t.Fatalf("%d repeats of %d requests in %s", repeats, requests, span)
			}
		}
	})
}

func TestLedgerForgets(t *testing.T) {
	terms := Limits{Slack: 2}
	l := NewFleetBudget(0)
	now := time.Unix(1_000_000, 0)
	assert.Assert(t, l.AllowRetry(now, "s", terms))
	assert.Assert(t, !l.AllowRetry(now.Add(9*time.Second), "s", terms))
	assert.Assert(t, l.AllowRetry(now.Add(11*time.Second), "s", terms))
}

// Two routes run at a target, mostly at the same time, and one of them calls, which
// no node can see. Within some seconds nearly all calls are put down to its runs.
func TestCallsArePutDownToTheRouteThatMakesThem(t *testing.T) {
	l := NewFleetBudget(0)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	ordering := false
	for range 400 {
		ends := now.Add(time.Second)
		l.BeginRun(now, "browse", Run{Route: "browse", Deadline: ends}, Limits{})
		for step := range 4 {
			if random.Float64() < 0.3 && !ordering {
				ordering = l.BeginRun(now, "order", Run{Route: "order", Deadline: ends}, Limits{})
			} else if random.Float64() < 0.3 && ordering {
				l.EndRun(now, "order")
				ordering = false
			}
			now = now.Add(5 * time.Millisecond)
			if step == 2 {
				l.CountRequest(now, "checks", now.Add(200*time.Millisecond))
			}
		}
		l.EndRun(now, "browse")
		now = now.Add(5 * time.Millisecond)
	}
	browse, order := l.calling.route("browse").perRun("checks"), l.calling.route("order").perRun("checks")
	assert.Assert(t, browse > 0.9 && order < 0.1, "%.2f and %.2f calls a run", browse, order)
}

// A caller's own request is wanted for longer than any run at the target, so it
// can't be a call and isn't charged, though all runs are repeats.
func TestCallersRequestsAreNotTakenForCalls(t *testing.T) {
	l := NewFleetBudget(0)
	now := time.Unix(1_000_000, 0)
	terms := Limits{Slack: 10}
	assert.Assert(t, l.BeginRun(now, "1", Run{Route: "r", RetryProbability: 1, Deadline: now.Add(time.Second)}, terms))
	assert.Equal(t, l.CountRequest(now, "s", now.Add(2*time.Second)), 0.0)
	assert.Equal(t, l.CountRequest(now, "s", now.Add(200*time.Millisecond)), 1.0)
	assert.Equal(t, l.CountRequest(now, "s", time.Time{}), 1.0)
}
