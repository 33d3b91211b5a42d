package main

import (
	"os"
	"runtime/debug"
)

// Garbage collector settings. The live heap of a node is small compared with the
// memory granted to its slot, and each forwarded call leaves about 10 KB of
// garbage: at the default GOGC of 100 the collector takes about a third of the
// CPU time of the request path. The memory limit makes the collector run more
// often before the memory of the slot is used up. It leaves room for memory that
// the runtime doesn't manage, such as the program itself.
const (
	// gcPercent is in percent of the live heap, as GOGC.
	gcPercent = 400
	// memoryLimit is in bytes, as GOMEMLIMIT.
	memoryLimit = 100 << 20
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

// Division of the memory that the platform grants a sidecar.
const (
	// processMemory is what a sidecar uses besides the bodies that it holds, in bytes:
	// the program, the view of the mesh, connections and stacks. It is an allowance, not a
	// measured figure.
	processMemory = 32 << 20
	// accountDivisor is the part of the rest that bodies may use. At sidecarGCPercent,
	// the heap grows to 1.6 times what is in use before it is collected, and a buffer
	// that grows exists twice for a moment.
	accountDivisor = 2
	// minAccount is the smallest limit of the account, in bytes. It is enough for some
	// tens of small requests at once.
	minAccount = 1 << 20
	// heapPercent is the part of the memory at which the runtime's limit is set. The
	// rest is for memory that the runtime doesn't manage, such as the program itself.
	heapPercent = 85
	// minHeapLimit is the lowest limit set for the runtime, in bytes. Below the live
	// heap, the garbage collector would use half of the CPU time without effect.
	minHeapLimit = 24 << 20
)

// accountLimit returns how many bytes of bodies a sidecar may hold in total, given the
// memory of its process in bytes; 0 means no limit.
func accountLimit(memory int64) int64 {
	if memory == 0 {
		return 0
	}
	return max((memory-processMemory)/accountDivisor, minAccount)
}

// limitSidecarMemory makes the garbage collector run more often near the memory of the
// process in bytes, if that is limited and the operator didn't set GOMEMLIMIT.
func limitSidecarMemory(memory int64) {
	if memory == 0 || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	debug.SetMemoryLimit(heapLimit(memory))
}

// heapLimit returns the memory limit of the runtime, given the memory of the process; both
// are in bytes.
func heapLimit(memory int64) int64 {
	return max(memory/100*heapPercent, minHeapLimit)
}

// limitedSendBytes is the size of the send buffer of a caller's connection in a process of
// limited memory, in bytes. The kernel doubles it. It carries 12 MB a second to a caller at
// 20 ms, more than the links of such VMs.
const limitedSendBytes = 128 << 10

// callerSendBytes returns the size of the send buffers for callers; 0 leaves it to the
// kernel.
func callerSendBytes(memory int64) int {
	if memory == 0 {
		return 0
	}
	return limitedSendBytes
}
