package proxy

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// Each request of two services is turned away by its first target, and each request
// of the first service that is sent again calls the second. Such calls count as
// repeats at the second service, beside its own: all together stay within the
// budget that its requests give.
func TestRepeatsLeaveRoomForCallsOfRepeatedRuns(t *testing.T) {
	const asked = 400
	f := newFleet(t, 2)
	for _, p := range f.proxies {
		p.config.RepeatFew = 0
	}
	var mu sync.Mutex
	arrivals := map[string]int{}
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(headers.RequestID)
			mu.Lock()
			arrivals[id]++
			first := arrivals[id] == 1
			mu.Unlock()
			if first {
				sheds("1,0,4")(w, r)
				return
			}
			target.runs(w, r)
		}
	}
	p := f.proxies[0]
	picture := *p.picture.Load()
	outer, inner := testRoute("/outer/", mesh.Idempotent), testRoute("/inner/", mesh.Idempotent)
	outer.Shares[0].Service, inner.Shares[0].Service = "outer", "inner"
	picture.Table = mesh.NewTable(&mesh.Config{Version: 2, Routes: []mesh.Route{outer, inner}})
	picture.Services = map[string][]*mesh.Member{"outer": picture.Services["s"], "inner": picture.Services["s"]}
	p.SetPicture(&picture)
	repeats := func(path string, count int) int {
		before := f.arrivals()
		for range count {
			f.ask(0, "GET", path, "")
		}
		return f.arrivals() - before - count
	}
	ofCallers := repeats("/outer/x", asked)
	own := repeats("/inner/x", asked)
	assert.Assert(t, own+ofCallers <= asked/5, "%d of its own and %d by repeated runs", own, ofCallers)
	assert.Assert(t, own >= asked/12, "%d", own)
}
