package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/gate"
	"tamarackquay/internal/mesh"
)

// arrivalLog holds the times at which requests reached a target.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *arrivalLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// since returns the arrivals after a time.
func (l *arrivalLog) since(after time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var later []time.Time
	for _, arrival := range l.times {
		if arrival.After(after) {
			later = append(later, arrival)
		}
	}
	return later
}

// assertWithinLimit checks that no span of the arrivals has more than one and a half times the
// limit, plus five requests.
func assertWithinLimit(t *testing.T, arrivals []time.Time, limit float64) {
	t.Helper()
	for i, first := range arrivals {
		for j, last := range arrivals[i:] {
			if allowed := 1.5*limit*last.Sub(first).Seconds() + 5; float64(j+1) > allowed {
				t.Fatalf("%d requests in %v with a limit of %v a second; allowed %.1f", j+1, last.Sub(first), limit, allowed)
			}
		}
	}
}

// testWork is how long the targets of these tests work on a request.
const testWork = 5 * time.Millisecond

// limitRequests makes a target name a limit in each response. limit returns it, given the number
// of responses so far.
func (f *fleet) limitRequests(target int, limit func(responses int) float64) *arrivalLog {
	arrivals := &arrivalLog{}
	var responses atomic.Int32
	f.targets[target].serve = func(w http.ResponseWriter, r *http.Request) {
		arrivals.add()
		time.Sleep(testWork)
		w.Header().Set(headers.RequestLimit, fmt.Sprint(limit(int(responses.Add(1)))))
		f.targets[target].respond(w, r)
	}
	return arrivals
}

// press sends requests through all nodes, one after another from each caller, for some time.
func (f *fleet) press(callersPerNode int, duration time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for node := range f.proxies {
		for range callersPerNode {
			callers.Go(func() {
				for time.Now().Before(end) {
					f.send(node, "GET", "/idempotent/x", "")
					time.Sleep(testWork)
				}
			})
		}
	}
	callers.Wait()
}

// withSlots changes the number of slots of all targets.
func (f *fleet) withSlots(slots int) {
	for _, p := range f.proxies {
		snapshot := *p.snapshot.Load()
		members := make([]*mesh.Member, len(snapshot.Services["s"]))
		for i, member := range snapshot.Services["s"] {
			changed := *member
			changed.Slots = slots
			members[i] = &changed
			if snapshot.Local == member {
				snapshot.Local = &changed
			}
		}
		snapshot.Services = map[string][]*mesh.Member{"s": members}
		p.SetSnapshot(&snapshot)
	}
}

// Guards against a target in need that gets more requests, from all nodes together, than the limit
// that it names in its responses.
func TestTargetGetsNoMoreThanItsNamedLimit(t *testing.T) {
	for _, test := range []struct {
		desc  string
		limit func(responses int) float64
		most  float64
	}{
		{"a fixed limit", func(int) float64 { return 10 }, 10},
		{"a limit that changes with each response", func(responses int) float64 { return 10 + float64(responses%4)/10 }, 10.3},
		{"no requests at all", func(int) float64 { return 0 }, 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 3)
			arrivals := f.limitRequests(1, test.limit)
			deadline := time.Now().Add(10 * time.Second)
			for len(arrivals.since(time.Time{})) == 0 {
				assert.Assert(t, time.Now().Before(deadline), "no request reached the target")
				f.press(1, 100*time.Millisecond)
			}
			named := time.Now()
			f.press(4, 1500*time.Millisecond)
			assertWithinLimit(t, arrivals.since(named), test.most)
		})
	}
}

// Guards against a restart of the owner node that makes the fleet forget the limit of its target.
func TestRestartedOwnerKeepsToNamedLimit(t *testing.T) {
	const limit = 2
	f := newFleet(t, 2)
	f.withSlots(64)
	for range 10 {
		f.proxies[0].stats["t0"].RecordFailure(time.Now())
	}
	arrivals := f.limitRequests(1, func(int) float64 { return limit })
	f.send(0, "GET", "/idempotent/x", "")
	assert.Equal(t, len(arrivals.since(time.Time{})), 1)
	f.proxies[1].restartOwner()
	restarted := time.Now()
	var callers sync.WaitGroup
	for range 60 {
		callers.Go(func() { f.send(0, "GET", "/idempotent/x", "") })
	}
	callers.Wait()
	assertWithinLimit(t, arrivals.since(restarted), limit)
}

// restartOwner forgets what the node knows of its local target and of the requests that it
// started there. No request may be running.
func (p *Proxy) restartOwner() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localReports = localReports{instance: p.localReports.instance}
	p.startRate = admission.StartRate{}
	p.gate = gate.New(p.ports.Clock, p.config.Seed)
	p.gate.Configure(admissionTerms(p.snapshot.Load().Local.Slots))
}

// leave makes a target report in its responses that it leaves. Nodes prefer it to the first
// target, and may send it requests for the grace period.
func (f *fleet) leave(target int, grace time.Duration) *testTarget {
	leaving := f.targets[target]
	leaving.serve = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Leaving, "1")
		leaving.respond(w, r)
	}
	for _, p := range f.proxies {
		p.config.DrainGrace = grace
		if target > 0 {
			p.stats["t0"].RecordFailure(time.Now())
		}
	}
	return leaving
}

// Guards against new requests to a target that says in its responses that it leaves, while the
// platform still lists it as ready.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	const grace = 30 * time.Millisecond
	for _, test := range []struct {
		desc string
		// nodes is the number of nodes, told the one whose caller gets the response that
		// names the departure, and entry the one that gets the next request.
		nodes, told, entry int
		wait               time.Duration
		restart            func(f *fleet)
		want               int
	}{
		{"a request through the node that was told", 2, 0, 0, 2 * grace, nil, http.StatusOK},
		{"a request through another node", 2, 1, 0, 2 * grace, nil, http.StatusOK},
		{"the owner node has restarted", 2, 0, 0, 2 * grace, func(f *fleet) { f.proxies[1].restartOwner() }, http.StatusOK},
		{"there is no other target", 1, 0, 0, 2 * grace, nil, http.StatusServiceUnavailable},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, test.nodes)
			leaving := f.leave(test.nodes-1, grace)
			assert.Equal(t, f.send(test.told, "POST", "/once/x", "").Code, http.StatusOK)
			assert.Equal(t, leaving.arrived.Load(), int32(1))
			time.Sleep(test.wait)
			if test.restart != nil {
				test.restart(f)
			}
			w := f.send(test.entry, "POST", "/once/x", "")
			assert.Equal(t, w.Code, test.want, w.Body.String())
			assert.Equal(t, leaving.arrived.Load(), int32(1))
		})
	}
}

// Guards against a target that is kept from requests for good because its earlier start left.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	f := newFleet(t, 1)
	target := f.targets[0]
	target.serve = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Leaving, "1")
		w.Header().Set(headers.RequestLimit, "0.1")
		target.respond(w, r)
	}
	f.proxies[0].config.DrainGrace = time.Millisecond
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	target.serve = target.respond
	snapshot := *f.proxies[0].snapshot.Load()
	restarted := *snapshot.Local
	restarted.Started = time.Now().UnixMilli()
	snapshot.Local = &restarted
	snapshot.Services = map[string][]*mesh.Member{"s": {&restarted}}
	time.Sleep(2 * time.Millisecond)
	f.proxies[0].SetSnapshot(&snapshot)
	for range 5 {
		assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	}
}

// Guards against refusing requests while the only target of a service is just about to leave, and
// against using it while there is another.
func TestTargetThatHasJustReportedToLeaveIsLastResort(t *testing.T) {
	for _, test := range []struct {
		desc     string
		nodes    int
		arrivals int32
	}{
		{"the only target", 1, 2},
		{"one of two targets", 2, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, test.nodes)
			leaving := f.leave(test.nodes-1, time.Minute)
			assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
			assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
			assert.Equal(t, leaving.arrived.Load(), test.arrivals)
		})
	}
}

// Guards against new requests to a leaving target whose entry expired during a platform outage and
// is listed again.
func TestDepartureIsRememberedWhileTargetIsUnlisted(t *testing.T) {
	f := newFleet(t, 2)
	leaving := f.leave(1, 30*time.Millisecond)
	p := f.proxies[0]
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	listed := p.snapshot.Load()
	without := *listed
	without.Services = map[string][]*mesh.Member{"s": listed.Services["s"][:1]}
	p.SetSnapshot(&without)
	p.SetSnapshot(listed)
	time.Sleep(60 * time.Millisecond)
	f.proxies[1].restartOwner()
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	assert.Equal(t, leaving.arrived.Load(), int32(1))
}

// Guards against callers that come back before the time that the target which shed them named.
func TestRetryAfterOfTargetReachesCaller(t *testing.T) {
	for _, test := range []struct{ named, want string }{
		{"", "0.050"},
		{"1.5", "1.500"},
		{"0.01", "0.050"},
		{"tomorrow", "0.050"},
		{"-3", "0.050"},
	} {
		t.Run("named "+test.named, func(t *testing.T) {
			f := newFleet(t, 1)
			shed := shedHandler("1,0,4")
			f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Retry-After", test.named)
				shed(w, r)
			}
			w := f.send(0, "GET", "/idempotent/x", "")
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get("Retry-After"), test.want)
		})
	}
}

// Guards against new requests to a leaving target whose own node no longer lists it when it responds.
func TestDepartureIsHeardFromUnlistedTarget(t *testing.T) {
	f := newFleet(t, 2)
	leaving := f.leave(1, 30*time.Millisecond)
	owner := f.proxies[1]
	listed := owner.snapshot.Load()
	respond := leaving.serve
	leaving.serve = func(w http.ResponseWriter, r *http.Request) {
		unlisted := *listed
		unlisted.Local = nil
		owner.SetSnapshot(&unlisted)
		respond(w, r)
	}
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	time.Sleep(60 * time.Millisecond)
	owner.SetSnapshot(listed)
	owner.restartOwner()
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	assert.Equal(t, leaving.arrived.Load(), int32(1))
}

// Guards against a burst of log lines from a target that names another limit in each response.
func TestReportsOfTargetAreLoggedAtBoundedRate(t *testing.T) {
	f := newFleet(t, 1)
	f.limitRequests(0, func(responses int) float64 { return 1000 + float64(responses) })
	began := time.Now()
	for range 30 {
		f.send(0, "GET", "/idempotent/x", "")
	}
	allowed := float64(linesPerSecond[lineTarget]) * (1 + time.Since(began).Seconds())
	lines := strings.Count(f.logs.String(), "target limits its requests")
	assert.Assert(t, lines > 0 && float64(lines) <= allowed, "%d lines; allowed %.1f", lines, allowed)
}

// Guards against a limit that is ignored because it is named in the answer to a health check, which
// comes before the first request after a restart.
func TestLimitInHealthCheckIsKept(t *testing.T) {
	f := newFleet(t, 1)
	target := f.targets[0]
	f.withWarmup(10, 0)
	f.awaitWarmupAnswer(0)
	respond := target.serve
	target.serve = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.RequestLimit, "3")
		respond(w, r)
	}
	f.proxies[0].doubtWarmup()
	f.awaitWarmupAnswer(0)
	p := f.proxies[0]
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.startRate.PerSecond, 3.0)
}
