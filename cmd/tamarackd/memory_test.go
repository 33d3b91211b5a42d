package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against limits that leave no room for the rest of the process, and against limits
// so low that the node serves nothing or collects garbage all the time.
func TestMemoryIsDivided(t *testing.T) {
	assert.Equal(t, accountLimit(0), int64(0))
	for _, memory := range []int64{1, 16e6, 64e6, 184e6, 1e9, 1e13} {
		account, heap := accountLimit(memory), heapLimit(memory)
		assert.Assert(t, account >= minAccount && heap >= minHeapLimit, "%d", memory)
		if memory >= 64e6 {
			assert.Assert(t, accountDivisor*account+processMemory <= memory, "%d: account of %d", memory, account)
			assert.Assert(t, heap < memory && heap > account, "%d: heap of %d", memory, heap)
		}
	}
}
