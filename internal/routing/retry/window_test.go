package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Requests and repeats come in bursts of any size. In every span of the window's
// length, wherever it begins, the repeats stay within the terms.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const ratio, few = 0.2, 3
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				w.Request(now)
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 10).Draw(t, "repeats") {
				if w.Repeat(now, ratio, few) {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			requests, repeats := 0, 0
			// The users count requests of this window or of the one before.
			for _, e := range events {
				since := e.at.Sub(events[i].at)
				if since >= 0 && since < windowSpan*time.Second && e.repeat {
					repeats++
				}
				if since >= -windowSpan*time.Second && since < windowSpan*time.Second && !e.repeat {
					requests++
				}
			}
			if float64(repeats) > ratio*float64(requests)+few {
				t.Fatalf("%d repeats of %d requests", repeats, requests)
			}
		}
	})
}

func TestWindowForgets(t *testing.T) {
	var w Window
	now := time.Unix(1_000_000, 0)
	assert.Assert(t, w.Repeat(now, 0, 1))
	assert.Assert(t, !w.Repeat(now.Add(9*time.Second), 0, 1))
	assert.Assert(t, w.Repeat(now.Add(11*time.Second), 0, 1))
}
