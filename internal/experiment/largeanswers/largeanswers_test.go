package largeanswers

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/experiment"
)

// Requests for archives exceed the rate of the link, and service times vary. Guards
// against an order of sending that misses deadlines: of the admitted responses, more
// must be in time if the one with the earliest deadline is sent first than if the first
// ready one is.
func TestEarliestDeadlineFirstMissesFewerDeadlines(t *testing.T) {
	admitted := Archives.Admitted(1)
	readyFirst, deadlineFirst := Archives.OnTimeFraction(admitted, ReadyFirst), Archives.OnTimeFraction(admitted, DeadlineFirst)
	t.Logf("in time: %.3f with the first ready response sent first, %.3f with the earliest deadline sent first", readyFirst, deadlineFirst)
	assert.Assert(t, deadlineFirst > readyFirst)
	assert.Assert(t, deadlineFirst >= 0.97, "%.3f", deadlineFirst)
}

// Guards against needless refusals. At half of the link's rate, hardly any request may
// be refused, although arrivals are clustered.
func TestFewRefusalsBelowLinkRate(t *testing.T) {
	load := Archives
	load.Demand = 0.5
	admitted := len(load.Admitted(1))
	assert.Assert(t, float64(admitted) >= 0.99*float64(load.Arrivals), "%d of %d", admitted, load.Arrivals)
}

func TestExperimentIsRepeatable(t *testing.T) {
	var first, second strings.Builder
	options := experiment.Options{Seed: 7}
	assert.NilError(t, Experiment{}.Run(context.Background(), &first, options))
	assert.NilError(t, Experiment{}.Run(context.Background(), &second, options))
	assert.Equal(t, first.String(), second.String())
	assert.Assert(t, strings.Contains(first.String(), "due first"))
}
