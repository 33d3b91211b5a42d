package proxy

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// arrivalsByPath counts what arrives at targets for one path prefix, beyond the
// first of each request.
type arrivalsByPath struct {
	mu     sync.Mutex
	prefix string
	seen   map[string]int
	first  int
	repeat int
}

// isFirst counts an arrival and reports whether it is the first of its request.
func (a *arrivalsByPath) isFirst(r *http.Request) bool {
	id := r.Header.Get(headers.RequestID)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[id]++
	if a.seen[id] == 1 {
		a.first++
		return true
	}
	a.repeat++
	return false
}

// Each request of two services is turned away by its first target, and each run of
// the outer service, all of which are repeats, calls the inner one through the node
// beside its target. Such calls count as repeats at the inner service, beside its
// own: all together stay within the budget that its requests give.
func TestRepeatsLeaveRoomForCallsOfRepeatedRuns(t *testing.T) {
	const asked = 400
	f := newFleet(t, 2)
	outer := &arrivalsByPath{prefix: "/outer/", seen: map[string]int{}}
	inner := &arrivalsByPath{prefix: "/inner/", seen: map[string]int{}}
	calls := 0
	for i, target := range f.targets {
		f.proxies[i].config.RetrySlack = 0
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			arrivals := outer
			if strings.HasPrefix(r.URL.Path, inner.prefix) {
				arrivals = inner
			}
			if arrivals.isFirst(r) {
				sheds("1,0,4")(w, r)
				return
			}
			if arrivals == outer {
				inner.mu.Lock()
				calls++
				inner.mu.Unlock()
				f.ask(i, "GET", "/inner/call", "")
			}
			target.runs(w, r)
		}
		f.route(i, outer.prefix, inner.prefix)
	}
	for i := range asked {
		f.ask(i%2, "GET", "/outer/x", "")
		f.ask(i%2, "GET", "/inner/x", "")
	}
	t.Logf("inner: %d of its own, %d calls of %d repeated runs; outer: %d", inner.repeat, calls, outer.repeat, outer.repeat)
	assert.Assert(t, inner.repeat+calls <= (asked+calls)/5, "%d of its own and %d by repeated runs", inner.repeat, calls)
	assert.Assert(t, inner.repeat+calls >= asked/8, "%d of its own and %d by repeated runs", inner.repeat, calls)
	assert.Assert(t, outer.repeat <= asked/5, "%d", outer.repeat)
}

// route gives a node a service of its own name, at all targets, for each prefix.
func (f *fleet) route(node int, prefixes ...string) {
	p := f.proxies[node]
	picture := *p.picture.Load()
	members := picture.Services["s"]
	picture.Services = map[string][]*mesh.Member{}
	var routes []mesh.Route
	for _, prefix := range prefixes {
		route := testRoute(prefix, mesh.Idempotent)
		route.Shares[0].Service = prefix
		routes = append(routes, route)
		picture.Services[prefix] = members
	}
	picture.Table = mesh.NewTable(&mesh.Config{Version: 2, Routes: routes})
	p.SetSnapshot(&picture)
}
