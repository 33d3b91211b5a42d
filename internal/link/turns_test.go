package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTurnsGoByDueTime(t *testing.T) {
	var q TransferQueue
	for range MaxConcurrent {
		assert.Assert(t, q.Start(&Transfer{Deadline: start}))
	}
	late, early, gone := &Transfer{Deadline: start.Add(2 * time.Second)}, &Transfer{Deadline: start.Add(time.Second)}, &Transfer{Deadline: start}
	for _, turn := range []*Transfer{late, early, gone} {
		assert.Assert(t, !q.Start(turn))
	}
	assert.Assert(t, q.Cancel(gone))
	assert.Equal(t, q.Finish(), early)
	assert.Assert(t, !q.Cancel(early), "its turn came")
	assert.Equal(t, q.Finish(), late)
	for range MaxConcurrent {
		assert.Assert(t, q.Finish() == nil)
	}
	assert.Assert(t, q.Start(&Transfer{}))
}
