package main

import (
	"os"
	"runtime/debug"
)

// The collector's terms. A node's live heap is small beside the memory that its
// slot grants, and each forwarded call leaves some 10 KB of garbage: at the
// default of 100 % the collector takes about a third of the processor time of
// the request path. The limit makes it work harder before the slot's memory is
// used up.
const (
	collectPercent = 400
	memoryLimit    = 112 << 20
)

// tuneMemory sets the collector unless the operator did so in the environment.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
