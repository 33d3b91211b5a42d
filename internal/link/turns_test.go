package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTurnsGoByDueTime(t *testing.T) {
	var q Turns
	for range AtOnce {
		assert.Assert(t, q.Ask(&Turn{Due: start}))
	}
	late, early, gone := &Turn{Due: start.Add(2 * time.Second)}, &Turn{Due: start.Add(time.Second)}, &Turn{Due: start}
	for _, turn := range []*Turn{late, early, gone} {
		assert.Assert(t, !q.Ask(turn))
	}
	assert.Assert(t, q.Cancel(gone))
	assert.Equal(t, q.End(), early)
	assert.Assert(t, !q.Cancel(early), "its turn came")
	assert.Equal(t, q.End(), late)
	for range AtOnce {
		assert.Assert(t, q.End() == nil)
	}
	assert.Assert(t, q.Ask(&Turn{}))
}
