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
