package main

import (
	"syscall"

	"tamarackquay/internal/adapter/httpserver"
)

// Parts of a process's memory for clients and of its descriptors that the clients of a listener may use.
// The rest of the descriptors is for the connections that the process opens and for files.
const (
	// clientDivisor is for the callers' listener, and as much for the peers' listener.
	clientDivisor = 3
	// queryDivisor is for each listener for readiness, metrics and operators.
	queryDivisor = 24
	// minQueryBytes is the least memory for the latter, in bytes.
	minQueryBytes = 512 << 10

	// feedDivisor is the part of the peers' connections that feeds may use. The rest is for requests.
	feedDivisor = 2

	connDivisor      = 4
	queryConnDivisor = 32
)

// descriptorLimit returns how many descriptors the process may open, given the platform's limit; 0 means
// that there is no limit.
func descriptorLimit(granted int) int {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur > maxDescriptors {
		return granted
	}
	if granted == 0 || int(own.Cur) < granted {
		return int(own.Cur)
	}
	return granted
}

// maxDescriptors is a number of descriptors that no process reaches.
const maxDescriptors = 1 << 30

// clientLimits returns the limits of the callers' or the peers' listener, given the memory for clients in
// bytes and the number of descriptors; 0 means no limit.
func clientLimits(memory int64, descriptors int) httpserver.ClientLimits {
	return httpserver.ClientLimits{Bytes: memory / clientDivisor, Conns: descriptors / connDivisor}
}

// queryLimits returns the limits of each other listener.
func queryLimits(memory int64, descriptors int) httpserver.ClientLimits {
	limits := httpserver.ClientLimits{Conns: descriptors / queryConnDivisor}
	if memory > 0 {
		limits.Bytes = max(memory/queryDivisor, minQueryBytes)
	}
	return limits
}
