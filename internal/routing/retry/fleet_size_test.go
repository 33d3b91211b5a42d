package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Entries lapse while their nodes run on: the number must not fall with them, but must follow a
// fleet that shrinks for good.
func TestFleetSizeOutlastsLapsedEntries(t *testing.T) {
	var size FleetSize
	assert.Equal(t, size.Nodes(), 1)
	now := time.Unix(1_000_000, 0)
	size.Observe(now, 66)
	size.Observe(now.Add(10*time.Second), 2)
	assert.Equal(t, size.Nodes(), 66)
	now = now.Add(time.Hour)
	size.Observe(now, 20)
	assert.Equal(t, size.Nodes(), 66, "all 66 may have been listed until now")
	size.Observe(now.Add(fleetSizePeriod), 20)
	assert.Equal(t, size.Nodes(), 20)
}
