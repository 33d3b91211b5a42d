package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTransfersAreOrderedByDeadline(t *testing.T) {
	var q TransferQueue
	for range MaxConcurrent {
		assert.Assert(t, q.Start(&Transfer{Deadline: start}))
	}
	late, early, canceled := &Transfer{Deadline: start.Add(2 * time.Second)}, &Transfer{Deadline: start.Add(time.Second)}, &Transfer{Deadline: start}
	for _, transfer := range []*Transfer{late, early, canceled} {
		assert.Assert(t, !q.Start(transfer))
	}
	assert.Assert(t, q.Cancel(canceled))
	assert.Equal(t, q.Finish(), early)
	assert.Assert(t, !q.Cancel(early), "it has been started")
	assert.Equal(t, q.Finish(), late)
	for range MaxConcurrent {
		assert.Assert(t, q.Finish() == nil)
	}
	assert.Assert(t, q.Start(&Transfer{}))
}
