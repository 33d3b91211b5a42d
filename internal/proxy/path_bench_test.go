package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

// BenchmarkCallerConnection measures an exchange on a connection of a caller, through one node and through
// two. The time includes the work of the target and of the caller.
func BenchmarkCallerConnection(b *testing.B) {
	for _, bench := range []struct {
		desc  string
		nodes int
	}{{"one-node", 1}, {"two-nodes", 2}} {
		b.Run(bench.desc, func(b *testing.B) {
			f := newFleet(b, bench.nodes)
			conn, err := net.Dial("tcp", f.callerAddress(b, 0))
			assert.NilError(b, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := []byte("POST /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody")
			b.ReportAllocs()
			for b.Loop() {
				if bench.nodes > 1 {
					f.proxies[0].stats["t0"].BackOff(time.Now())
				}
				_, err := conn.Write(request)
				assert.NilError(b, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				assert.Equal(b, response.StatusCode, http.StatusOK)
			}
		})
	}
}
