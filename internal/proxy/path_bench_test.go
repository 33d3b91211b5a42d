package proxy

import (
	"testing"
	"time"
)

// BenchmarkPath measures a request through entry node, owner node, target and back, over
// loopback. The time includes the work of the target.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if w := f.send(0, "GET", "/idempotent/x", ""); w.Code != 200 {
			b.Fatal(w.Code)
		}
		f.proxies[0].stats["t0"].BackOff(time.Now())
	}
}

// BenchmarkPathWithMemoryLimit measures the same request with an account of memory at both
// nodes. It shows what the account costs in time and allocations.
func BenchmarkPathWithMemoryLimit(b *testing.B) {
	f := newFleet(b, 2)
	for _, p := range f.proxies {
		p.memory = newMemory(64<<20, p.ports, p.requestLog)
	}
	f.proxies[0].stats["t0"].BackOff(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if w := f.send(0, "GET", "/idempotent/x", ""); w.Code != 200 {
			b.Fatal(w.Code)
		}
		f.proxies[0].stats["t0"].BackOff(time.Now())
	}
}
