package main

import (
	"os"
	"runtime/debug"
)

// Garbage collector settings. The live heap of a node is small compared with the
// memory granted to its slot, and each forwarded call leaves about 10 KB of
// garbage: at the default GOGC of 100 the collector takes about a third of the
// CPU time of the request path. The memory limit makes the collector run more
// often before the memory of the slot is used up.
const (
	// gcPercent is in percent of the live heap, as GOGC.
	gcPercent = 400
	// memoryLimit is in bytes, as GOMEMLIMIT.
	memoryLimit = 112 << 20
)

// tuneGC applies the settings above unless the operator set GOGC or GOMEMLIMIT in
// the environment.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
