package largeanswers

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/experiment"
)

// Archives are asked for beyond what the link carries, and targets take uneven
// times for them. Of those that are taken, callers get more in time if the one
// that is due first is sent first than if the first that is ready is.
func TestDueFirstIsInTimeMoreOften(t *testing.T) {
	taken := Archives.Admitted(1)
	readyFirst, dueFirst := Archives.OnTimeFraction(taken, ReadyFirst), Archives.OnTimeFraction(taken, DeadlineFirst)
	t.Logf("in time: %.3f when the first that is ready goes first, %.3f when the one due first does", readyFirst, dueFirst)
	assert.Assert(t, dueFirst > readyFirst)
	assert.Assert(t, dueFirst >= 0.97, "%.3f", dueFirst)
}

// Callers ask for half of what the link carries: next to nothing is refused, though
// arrivals come in clusters.
func TestNothingIsRefusedBelowTheLinksRate(t *testing.T) {
	load := Archives
	load.Demand = 0.5
	taken := len(load.Admitted(1))
	assert.Assert(t, float64(taken) >= 0.99*float64(load.Arrivals), "%d of %d", taken, load.Arrivals)
}

func TestExperimentIsRepeatable(t *testing.T) {
	var first, second strings.Builder
	options := experiment.Options{Seed: 7}
	assert.NilError(t, Experiment{}.Run(context.Background(), &first, options))
	assert.NilError(t, Experiment{}.Run(context.Background(), &second, options))
	assert.Equal(t, first.String(), second.String())
	assert.Assert(t, strings.Contains(first.String(), "due first"))
}
