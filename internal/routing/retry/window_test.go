package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request whose body took seconds to arrive is counted after requests that began later. It
// must be counted as well, and its connection must not end by a panic.
func TestCountsOfEarlierTimesAreKept(t *testing.T) {
	budget := NewFleetBudget(0, time.Time{})
	now := time.Unix(1_000_000, 0)
	const requests = 100
	for range requests {
		budget.CountRequest(now, "s", time.Time{})
	}
	for range requests {
		budget.CountRequest(now.Add(-5*time.Second), "s", time.Time{})
	}
	assert.Equal(t, budget.Usage(now, Limits{})["s"].Requests, 2*requests)
	assert.Assert(t, budget.AllowRetry(now.Add(-5*time.Second), "s", Limits{Ratio: 0.2}))
	assert.Equal(t, budget.Usage(now, Limits{})["s"].Retries, 1.0)
}
