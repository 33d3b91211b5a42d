package peerws

import (
	"syscall"
	"testing"
	"time"
)

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perOperation reports the processor time of both sides of an exchange.
func perOperation(b *testing.B, began time.Duration) {
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
}

// BenchmarkAsk is one heartbeat and its answer on an open connection, with both
// sides in this process: each node at rest does about as much as one side of 2.7
// of these a second. Run it with -benchtime 300x: more would be slowed down by the
// server's bound on messages.
func BenchmarkAsk(b *testing.B) {
	f := newFleet(b)
	to := f.serve("vm-2", answering("vm-2"))
	client := f.client("vm-1")
	began := processorTime(b)
	for b.Loop() {
		if _, err := client.Request(b.Context(), to, beatOf("vm-1")); err != nil {
			b.Fatal(err)
		}
	}
	perOperation(b, began)
}

// BenchmarkDial is one new connection with its TLS handshake and one question.
func BenchmarkDial(b *testing.B) {
	f := newFleet(b)
	to := f.serve("vm-2", answering("vm-2"))
	client := f.client("vm-1")
	began := processorTime(b)
	for b.Loop() {
		if _, err := client.Request(b.Context(), to, beatOf("vm-1")); err != nil {
			b.Fatal(err)
		}
		client.Close()
	}
	perOperation(b, began)
}
