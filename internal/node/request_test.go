package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
	"tamarackquay/internal/snapshot"
	"tamarackquay/internal/tomlfile"
)

// fakeOwners fakes all other owner nodes: respond returns the outcome of each
// attempt, by the attempt's number.
type fakeOwners struct {
	respond func(ctx context.Context, number int, to membership.VM, call *port.Call) (*port.Response, error)

	mu    sync.Mutex
	calls []port.Call
	to    []string
}

func (f *fakeOwners) Forward(ctx context.Context, to membership.VM, call *port.Call) (*port.Response, error) {
	f.mu.Lock()
	number := len(f.calls)
	f.calls = append(f.calls, *call)
	f.to = append(f.to, to.ID)
	f.mu.Unlock()
	return f.respond(ctx, number, to, call)
}

func newResponse(status int, header http.Header, body io.Reader, length int64) *port.Response {
	if header == nil {
		header = http.Header{}
	}
	return &port.Response{Status: status, Header: header, Body: io.NopCloser(body), ContentLength: length}
}

func okResponse(body string) *port.Response {
	return newResponse(http.StatusOK, nil, strings.NewReader(body), int64(len(body)))
}

var errBroken = &port.UnknownOutcome{Stage: "answer", Cause: io.ErrUnexpectedEOF}

// requestSet returns a set with an idempotent route, two that are not, and the
// service that runs at the node under test.
func requestSet() *contract.Set {
	route := func(name string, idempotent bool, methods ...string) contract.Route {
		return contract.Route{Name: name, Prefix: "/" + name, Service: "tally", Class: "crew", Idempotent: idempotent,
			Methods: methods, Deadline: tomlfile.Duration(4 * time.Second), StallTimeout: tomlfile.Duration(time.Second)}
	}
	return &contract.Set{
		Services: []contract.Service{{Name: "tally", Slots: 4, MaxConnections: 10, Committed: map[string]int{"domain-0": 1}}},
		Contracts: []contract.Contract{{
			Customer: "co-operative", TokenHashes: []string{contract.HashToken("token")}, Classes: []string{"crew"},
			Grants: []contract.Grant{{Service: "tally", Share: 0.5, Limit: 1}},
			Routes: []contract.Route{route("tallies", true), route("returns", false, "POST"), route("once", false, "GET")},
		}},
	}
}

// newEntry returns a ready node of another service whose targets are faked by
// owners: three in its own domain and three in another region.
func newEntry(t testing.TB, owners *fakeOwners) *Node {
	t.Helper()
	n := New(Config{
		Self:         membership.VM{ID: "entry", FailureDomain: "domain-0", Region: "region-0", Service: "other"},
		Distribution: distribution.DefaultConfig(), Membership: membership.DefaultConfig(),
		QueuePerSlot: 4, MaxAttempts: 3, DrainTimeout: time.Minute, Seed: 1,
	}, Ports{Forward: owners, Target: noTarget{}, Clock: virtualClock{}, Audit: noAudit{}, Meter: noMeter{}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
	publication, err := snapshot.Build(requestSet(), snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: 2}})
	assert.NilError(t, err)
	current, found := snapshot.Assemble(publication.Manifest, publication.Parts)
	assert.NilError(t, found.AsError())
	n.current.Store(current)
	n.ready.Store(true)
	n.view.Store(viewOf(3))
	return n
}

// viewOf returns a view with that many targets in the node's own domain and as
// many in another region.
func viewOf(each int) *membership.View {
	view := &membership.View{Targets: map[string][]membership.VM{}}
	for i := range 2 * each {
		vm := membership.VM{ID: fmt.Sprintf("vm-%d", i), FailureDomain: "domain-0", Region: "region-0", Service: "tally"}
		if i >= each {
			vm.FailureDomain, vm.Region = "domain-9", "region-9"
		}
		view.Targets["tally"] = append(view.Targets["tally"], vm)
	}
	return view
}

type noAudit struct{}

func (noAudit) Record(port.AuditEvent) {}

func serve(n *Node, method, path string, body io.Reader) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, body)
	request.Header.Set("Authorization", "Bearer token")
	recorder := httptest.NewRecorder()
	n.ServeCaller(recorder, request)
	return recorder
}

// The attempts of a request have different outcomes. The caller must get "did
// not run" only if no attempt can have run, and a request that is not idempotent
// must never be offered again after an attempt that may have run.
func TestOutcomesOfAttempts(t *testing.T) {
	full := port.Refuse(port.ReasonQueueFull, 3*time.Second, "full")
	shed := port.Refuse(port.ReasonShed, 2*time.Second, "shed")
	stopping := port.Refuse(port.ReasonStopping, time.Second, "stopping")
	cases := []struct {
		desc, method, path string
		outcomes           []error
		attempts           int
		outcome            string
		retryAfter         string
	}{
		{"first answer", "GET", "/tallies", []error{nil}, 1, "", ""},
		{"idempotent and unknown is retried", "GET", "/tallies", []error{errBroken, nil}, 2, "", ""},
		{"unknown and then refused is unknown", "GET", "/tallies", []error{errBroken, full, full}, 3, callhttp.OutcomeUnknown, ""},
		{"not idempotent and unknown is never retried", "POST", "/returns", []error{errBroken, nil}, 1, callhttp.OutcomeUnknown, ""},
		{"a GET can be not idempotent", "GET", "/once", []error{errBroken, nil}, 1, callhttp.OutcomeUnknown, ""},
		{"a refused request is retried with its body", "POST", "/returns", []error{shed, stopping, nil}, 3, "", ""},
		{"the shortest retry time is returned", "POST", "/returns", []error{full, shed, full}, 3, callhttp.OutcomeDidNotRun, "2"},
		{"a refusal that any target would give", "GET", "/tallies", []error{port.Refuse(port.ReasonNoGrant, 0, "none")}, 1, callhttp.OutcomeDidNotRun, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			owners := &fakeOwners{}
			owners.respond = func(_ context.Context, number int, _ membership.VM, call *port.Call) (*port.Response, error) {
				if c.outcomes[number] != nil {
					return nil, c.outcomes[number]
				}
				if call.Body == nil {
					return okResponse("whole"), nil
				}
				content, err := io.ReadAll(call.Body)
				return okResponse(string(content)), err
			}
			var body io.Reader
			if c.method == http.MethodPost {
				body = strings.NewReader("whole")
			}
			got := serve(newEntry(t, owners), c.method, c.path, body)
			assert.Equal(t, len(owners.calls), c.attempts)
			assert.Equal(t, got.Header().Get(callhttp.HeaderOutcome), c.outcome)
			assert.Equal(t, got.Header().Get("Retry-After"), c.retryAfter)
			if c.outcome == "" {
				assert.Equal(t, got.Body.String(), "whole")
			}
		})
	}
}

// Each attempt must have its own id and go to another target, and after a full
// queue to another region.
func TestAttemptsUseDistinctTargets(t *testing.T) {
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		return nil, port.Refuse(port.ReasonQueueFull, time.Second, "full")
	}}
	serve(newEntry(t, owners), "GET", "/tallies", nil)
	assert.Equal(t, len(owners.calls), 3)
	near := map[string]bool{"vm-0": true, "vm-1": true, "vm-2": true}
	assert.Assert(t, near[owners.to[0]] && !near[owners.to[1]] && !near[owners.to[2]], "%v", owners.to)
	assert.Assert(t, owners.to[1] != owners.to[2])
	assert.Assert(t, owners.calls[0].ID != owners.calls[1].ID)
}

// While every target fails, retries must not add load that prevents the targets
// from recovering.
func TestRetriesDontAmplify(t *testing.T) {
	for _, failure := range []error{errBroken, port.Refuse(port.ReasonQueueFull, time.Second, "full"), port.Refuse(port.ReasonUnreachable, time.Second, "down")} {
		owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) { return nil, failure }}
		n := newEntry(t, owners)
		const requests = 1000
		for range requests {
			serve(n, "GET", "/tallies", nil)
		}
		amplification := float64(len(owners.calls)) / requests
		t.Logf("amplification %.3f under %v", amplification, failure)
		assert.Assert(t, amplification < 1.1, "amplification %.3f", amplification)
	}
}

// One target hangs. The caller of an idempotent request must still get a response
// from another target before the deadline, and the hung attempt must end.
func TestHungTargetLeavesTimeForRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := false
		owners := &fakeOwners{respond: func(ctx context.Context, number int, _ membership.VM, call *port.Call) (*port.Response, error) {
			if number > 0 {
				return okResponse("whole"), nil
			}
			time.Sleep(time.Until(call.Deadline))
			ended = true
			return nil, errBroken
		}}
		start := time.Now()
		got := serve(newEntry(t, owners), "GET", "/tallies", nil)
		assert.Equal(t, got.Body.String(), "whole")
		assert.Assert(t, ended && time.Since(start) == 2*time.Second, "took %s", time.Since(start))
	})
}

// Callers that disconnect, or that send a short time budget, are no evidence of a
// fault of the target: it must not be ejected.
func TestDisconnectedCallersEjectNoTarget(t *testing.T) {
	var giveUp context.CancelFunc
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		giveUp()
		return nil, errBroken
	}}
	n := newEntry(t, owners)
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		giveUp = cancel
		request := httptest.NewRequest("GET", "/tallies", nil).WithContext(ctx)
		request.Header.Set("Authorization", "Bearer token")
		n.ServeCaller(httptest.NewRecorder(), request)
	}
	for range 50 {
		request := httptest.NewRequest("GET", "/tallies", nil)
		request.Header.Set("Authorization", "Bearer token")
		request.Header.Set(callhttp.HeaderBudget, "1000")
		n.ServeCaller(httptest.NewRecorder(), request)
	}
	assert.Assert(t, len(owners.calls) >= 100)
	for target := range n.targets.service("tally").pool.Load().all {
		assert.Assert(t, target.available(time.Now()), "%s is ejected", target.vm.ID)
	}
}

// At most half of a service's targets may be ejected, however many fail.
func TestEjectionIsCapped(t *testing.T) {
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) { return nil, errBroken }}
	n := newEntry(t, owners)
	for range 200 {
		serve(n, "GET", "/tallies", nil)
	}
	ejected := 0
	for target := range n.targets.service("tally").pool.Load().all {
		if !target.available(time.Now()) {
			ejected++
		}
	}
	assert.Equal(t, ejected, 3)
}

// A request with a large body may be retried only if no byte of the body was
// read, and an ended attempt must not be able to read from it.
func TestLargeBodyIsRetriedOnlyIfUnread(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 2*requestbody.MaxBufferedBytes)
	for _, read := range []bool{false, true} {
		owners := &fakeOwners{}
		var first io.Reader
		owners.respond = func(_ context.Context, number int, _ membership.VM, call *port.Call) (*port.Response, error) {
			if number > 0 {
				_, err := first.Read(make([]byte, 1))
				assert.ErrorIs(t, err, requestbody.ErrRevoked)
				content, err := io.ReadAll(call.Body)
				assert.Equal(t, len(content), len(large))
				return okResponse("whole"), err
			}
			first = call.Body
			if read {
				_, _ = call.Body.Read(make([]byte, 1))
			}
			return nil, port.Refuse(port.ReasonShed, time.Second, "shed")
		}
		got := serve(newEntry(t, owners), "POST", "/returns", bytes.NewReader(large))
		want := ""
		if read {
			want = callhttp.OutcomeDidNotRun
		}
		assert.Equal(t, got.Header().Get(callhttp.HeaderOutcome), want)
	}
}

// A forwarded call that arrives twice must not run again, and the outcome of the
// second one must not be "did not run", since the first one may have run.
func TestDuplicateForwardRunsOnce(t *testing.T) {
	n := newEntry(t, nil)
	n.config.Self.Service = "tally"
	runs := &countingTarget{}
	n.ports.Target = runs
	n.gate.Configure(newTerms(n.current.Load(), n.config))
	call := &port.Call{ID: "id", Customer: "co-operative", Service: "tally", Route: "returns", Method: "POST", StallTimeout: time.Second, Deadline: time.Now().Add(time.Second)}
	for _, want := range []string{"", callhttp.OutcomeUnknown} {
		recorder := httptest.NewRecorder()
		n.ServeForwarded(recorder, httptest.NewRequest("POST", "/returns", nil), call)
		assert.Equal(t, recorder.Header().Get(callhttp.HeaderOutcome), want)
	}
	assert.Equal(t, runs.count, 1)
}

type countingTarget struct{ count int }

func (c *countingTarget) Do(context.Context, *port.Call) (*port.Response, error) {
	c.count++
	return okResponse("ran"), nil
}

// recentIDs must keep at least the last minRecentIDs ids and at most twice as
// many.
func TestRecentIDsAreBounded(t *testing.T) {
	r := newRecentIDs()
	for i := range 5 * minRecentIDs {
		assert.Assert(t, r.add(fmt.Sprint(i)))
		assert.Assert(t, len(r.current)+len(r.previous) <= 2*minRecentIDs)
	}
	for i := range minRecentIDs {
		assert.Assert(t, !r.add(fmt.Sprint(5*minRecentIDs-1-i)))
	}
}

// A call carries a newer version than the owner node has. It must run if the
// older version has the same route and grant, and otherwise be refused with the
// reason "behind".
func TestOwnerWithOlderVersionThanCall(t *testing.T) {
	n := newEntry(t, nil)
	n.config.Self.Service = "tally"
	n.ports.Target = &countingTarget{}
	n.gate.Configure(newTerms(n.current.Load(), n.config))
	view := viewOf(1)
	view.Peers = view.Targets["tally"]
	n.view.Store(view)
	cases := []struct{ customer, route, want string }{
		{"co-operative", "tallies", ""},
		{"co-operative", "new-route", string(port.ReasonBehind)},
		{"new-customer", "tallies", string(port.ReasonBehind)},
	}
	for i, c := range cases {
		recorder := httptest.NewRecorder()
		n.ServeForwarded(recorder, httptest.NewRequest("GET", "/", nil), &port.Call{
			ID: fmt.Sprint(i), Customer: c.customer, Route: c.route, Service: "tally", StallTimeout: time.Second, Entry: "vm-0",
			Version: snapshot.Version{Epoch: 1, Revision: 3}, Deadline: time.Now().Add(time.Second),
		})
		assert.Equal(t, recorder.Header().Get(callhttp.HeaderReason), c.want)
	}
	assert.Equal(t, len(n.events), 1, "a newer version must start one pull, not one for each call")
}

// A stopping node must at once refuse requests for its local target, still serve
// callers for a while through other targets, and close their connections with
// each response.
func TestStoppingNodeClosesCallerConnections(t *testing.T) {
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		return okResponse("whole"), nil
	}}
	n := newEntry(t, owners)
	n.stopping.Store(true)
	got := serve(n, "GET", "/tallies", nil)
	assert.Equal(t, got.Body.String()+got.Header().Get("Connection"), "wholeclose")
	_, _, err := n.runLocal(t.Context(), &port.Call{Service: "other"})
	var refusal *port.Refusal
	assert.Assert(t, errors.As(err, &refusal) && refusal.Reason == port.ReasonStopping)
	n.closed.Store(true)
	got = serve(n, "GET", "/tallies", nil)
	assert.Equal(t, got.Header().Get(callhttp.HeaderReason)+got.Header().Get("Connection"), "stoppingclose")
}

// A target that makes inner calls passes its call chain and its remaining time to
// its own node. A caller may shorten the route's deadline but never extend it.
func TestChainAndDeadlineArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			chain, budget string
			wantDepth     int
			want          time.Duration
		}{{"", "", 0, 4 * time.Second}, {"a,b,c", "500", 3, 500 * time.Millisecond}, {strings.Repeat("a,", 99), "99000", 9, 4 * time.Second}, {"a", "-5", 1, 4 * time.Second}, {"a", "x", 1, 4 * time.Second}} {
			owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
				return okResponse("whole"), nil
			}}
			n := newEntry(t, owners)
			n.config.MaxAttempts = 1
			request := httptest.NewRequest("GET", "/tallies", nil)
			request.Header.Set("Authorization", "Bearer token")
			request.Header.Set(callhttp.HeaderChain, c.chain)
			request.Header.Set(callhttp.HeaderBudget, c.budget)
			n.ServeCaller(httptest.NewRecorder(), request)
			assert.Equal(t, len(owners.calls[0].Chain), c.wantDepth)
			assert.Equal(t, time.Until(owners.calls[0].Deadline), c.want)
		}
	})
}

// After a pause of the process, a request is handled before the control loop
// runs. The membership is then old, so the request must be refused instead of
// being sent to a VM that may have departed.
func TestRequestRightAfterPauseIsRefused(t *testing.T) {
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		return okResponse("whole"), nil
	}}
	n := newEntry(t, owners)
	beforePause := time.Now().Add(-time.Minute)
	n.lastRun.Store(&beforePause)
	assert.Equal(t, serve(n, "GET", "/tallies", nil).Header().Get(callhttp.HeaderReason), string(port.ReasonNotReady))
	now := time.Now()
	n.lastRun.Store(&now)
	assert.Equal(t, serve(n, "GET", "/tallies", nil).Body.String(), "whole")
}

// After a pause of the process, a request arrives while the control loop handles
// the pause: the loop has run, but has not yet published that the node must
// refresh first. The request must be refused as well. Such a request once ran a
// second past its deadline, after its caller had disconnected during the pause.
func TestRequestDuringPauseHandlingIsRefused(t *testing.T) {
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		return okResponse("whole"), nil
	}}
	n := newEntry(t, owners)
	beforePause := time.Now().Add(-time.Minute)
	n.lastRun.Store(&beforePause)
	var reason string
	n.OnPause(func(time.Duration) {
		reason = serve(n, "GET", "/tallies", nil).Header().Get(callhttp.HeaderReason)
	})
	n.checkPause(time.Now())
	assert.Equal(t, reason, string(port.ReasonNotReady))
}

// A large body is sent on a probe, and the target refuses the probe as busy after
// it read a part of the body. If the next target got the rest as a complete body,
// it would file half a return. So large bodies must not be sent on probes, and a
// body that was read must not be readable again.
func TestPartialBodyIsNeverSent(t *testing.T) {
	large := strings.Repeat("x", 2*requestbody.MaxBufferedBytes)
	owners := &fakeOwners{}
	owners.respond = func(_ context.Context, _ int, _ membership.VM, call *port.Call) (*port.Response, error) {
		if call.NoWait {
			t.Error("a large body was sent on a probe")
			_, _ = call.Body.Read(make([]byte, 100))
			return nil, port.Refuse(port.ReasonBusy, time.Second, "busy")
		}
		content, err := io.ReadAll(call.Body)
		assert.Check(t, err != nil || len(content) == len(large), "%d bytes were accepted as the complete return", len(content))
		return okResponse("filed"), nil
	}
	for _, body := range []io.Reader{strings.NewReader(large), io.MultiReader(strings.NewReader(large))} {
		got := serve(newEntry(t, owners), "POST", "/returns", body)
		assert.Equal(t, got.Body.String(), "filed")
	}

	read, _, err := requestbody.Read(strings.NewReader(large), int64(len(large)))
	assert.NilError(t, err)
	first := read.Reader()
	_, err = first.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, err = read.Reader().Read(make([]byte, 1))
	assert.ErrorIs(t, err, requestbody.ErrRevoked)
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, requestbody.ErrRevoked)
}
