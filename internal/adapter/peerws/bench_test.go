package peerws

import (
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPU reports the CPU time since start per operation, for both sides together.
func reportCPU(b *testing.B, start time.Duration) {
	b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// BenchmarkRequest measures a heartbeat and its reply on an open connection, with both sides
// in this process. The load of a node at rest is about that of one side of 2.7 such
// exchanges a second. Run it with -benchtime 300x: more iterations would be slowed down by
// the server's message rate limit.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b)
	to := f.serve("vm-2", respondAs("vm-2"))
	client := f.client("vm-1")
	start := cpuTime(b)
	for b.Loop() {
		if _, err := client.Request(b.Context(), to, heartbeatFrom("vm-1")); err != nil {
			b.Fatal(err)
		}
	}
	reportCPU(b, start)
}

// BenchmarkDial measures a new connection with its TLS handshake and one request.
func BenchmarkDial(b *testing.B) {
	f := newFleet(b)
	to := f.serve("vm-2", respondAs("vm-2"))
	client := f.client("vm-1")
	start := cpuTime(b)
	for b.Loop() {
		if _, err := client.Request(b.Context(), to, heartbeatFrom("vm-1")); err != nil {
			b.Fatal(err)
		}
		client.Close()
	}
	reportCPU(b, start)
}
