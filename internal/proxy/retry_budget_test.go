package proxy

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// arrivalCounter counts the requests that arrive at targets for one path prefix, first
// arrivals and retries separately.
type arrivalCounter struct {
	mu        sync.Mutex
	prefix    string
	byRequest map[string]int
	first     int
	retries   int
}

// isFirst counts an arrival and reports whether it is the first of its request.
func (a *arrivalCounter) isFirst(r *http.Request) bool {
	id := r.Header.Get(headers.RequestID)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byRequest[id]++
	if a.byRequest[id] == 1 {
		a.first++
		return true
	}
	a.retries++
	return false
}

// Each request of two services is shed by its first target, so each run of the outer
// service is a retry; it calls the inner service through the node on its VM. These calls
// count as retries of the inner service, in addition to its own: together they must stay
// within the budget given by its requests, and use most of it where requests arrive over some
// windows. At a load that has just begun, half of it is allowed.
func TestRetryBudgetIncludesCallsOfRetriedRuns(t *testing.T) {
	t.Run("all at once", func(t *testing.T) { sendShedRequestsWithCalls(t, 0, 16) })
	t.Run("over three windows", func(t *testing.T) { sendShedRequestsWithCalls(t, 75*time.Millisecond, 8) })
}

// sendShedRequestsWithCalls sends 400 requests to each of two services, with the given pause
// after each pair, and checks the retries and the calls of retried runs: at most a fifth of the
// requests, and at least one in leastPart.
func sendShedRequestsWithCalls(t *testing.T, pause time.Duration, leastPart int) {
	const requests = 400
	f := newFleet(t, 2)
	clock := &shiftedClock{}
	for _, p := range f.proxies {
		p.ports.Clock = clock
	}
	outer := &arrivalCounter{prefix: "/outer/", byRequest: map[string]int{}}
	inner := &arrivalCounter{prefix: "/inner/", byRequest: map[string]int{}}
	calls := 0
	for i, target := range f.targets {
		f.proxies[i].config.RetrySlack = 0
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			arrivals := outer
			if strings.HasPrefix(r.URL.Path, inner.prefix) {
				arrivals = inner
			}
			if arrivals.isFirst(r) {
				shedHandler("1,0,4")(w, r)
				return
			}
			if arrivals == outer {
				inner.mu.Lock()
				calls++
				inner.mu.Unlock()
				f.send(i, "GET", "/inner/call", "")
			}
			target.respond(w, r)
		}
		f.addRoutes(i, outer.prefix, inner.prefix)
	}
	for i := range requests {
		f.send(i%2, "GET", "/outer/x", "")
		f.send(i%2, "GET", "/inner/x", "")
		clock.advance(pause)
	}
	t.Logf("inner: %d retries, %d calls of %d retried runs; outer: %d", inner.retries, calls, outer.retries, outer.retries)
	assert.Assert(t, inner.retries+calls <= (requests+calls)/5, "%d retries and %d calls of retried runs", inner.retries, calls)
	assert.Assert(t, inner.retries+calls >= requests/leastPart, "%d retries and %d calls of retried runs", inner.retries, calls)
	assert.Assert(t, outer.retries <= requests/5, "%d", outer.retries)
}

// addRoutes adds, for each prefix, a route to a service of the same name that runs at all
// targets.
func (f *fleet) addRoutes(node int, prefixes ...string) {
	p := f.proxies[node]
	snapshot := *p.snapshot.Load()
	members := snapshot.Services["s"]
	snapshot.Services = map[string][]*mesh.Member{}
	var routes []mesh.Route
	for _, prefix := range prefixes {
		route := testRoute(prefix, mesh.Idempotent)
		route.Shares[0].Service = prefix
		routes = append(routes, route)
		snapshot.Services[prefix] = members
	}
	snapshot.Table = mesh.NewTable(&mesh.Config{Version: 2, Routes: routes})
	p.SetSnapshot(&snapshot)
}

// Targets crash and their entries lapse, while the nodes on their VMs go on serving callers. The
// retries of all nodes must stay within the fixed part of the budget.
func TestSlackIsSharedWithNodesOfUnlistedTargets(t *testing.T) {
	const nodes, listed, slack, requests = 6, 2, 12, 20
	f := newFleet(t, nodes)
	arrivals := &arrivalCounter{byRequest: map[string]int{}}
	for i, p := range f.proxies {
		p.config.RetryRatio, p.config.RetrySlack = 0, slack
		f.targets[i].serve = func(w http.ResponseWriter, r *http.Request) {
			arrivals.isFirst(r)
			shedHandler("1,0,4")(w, r)
		}
		snapshot := *p.snapshot.Load()
		snapshot.Services = map[string][]*mesh.Member{"s": snapshot.Services["s"][:listed]}
		snapshot.ListedVMs = listed
		p.SetSnapshot(&snapshot)
	}
	for i := range nodes * requests {
		f.send(i%nodes, "GET", "/idempotent/x", "")
	}
	assert.Assert(t, arrivals.retries > 0)
	assert.Assert(t, arrivals.retries <= slack, "%d retries", arrivals.retries)
}
