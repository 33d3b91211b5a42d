package proxy

import (
	"testing"
	"time"
)

// BenchmarkPath measures a request through both its nodes: entry, owner, target
// and back, over loopback. The target's own work is in the figure.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if w := f.ask(0, "GET", "/idempotent/x", ""); w.Code != 200 {
			b.Fatal(w.Code)
		}
		f.proxies[0].stats["t0"].BackOff(time.Now())
	}
}
