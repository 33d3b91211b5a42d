package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/requestbody"
	"tamarackquay/internal/routing/clientretry"
)

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	var got http.Header
	f.targets[1].serve = func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		f.targets[1].respond(w, r)
	}
	w := f.send(0, "POST", "/once/a%2fb?q=1", "body")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "t1 ran /once/a%2fb?q=1 body")
	assert.Equal(t, got.Get(headers.CallerService), "caller-service")
	assert.Equal(t, got.Get(headers.ExpectedTarget), "t1")
	assert.Assert(t, got.Get(headers.Deadline) != "")
	for name := range got {
		assert.Assert(t, !strings.HasPrefix(name, callhttp.HeaderPrefix), name)
	}
}

// Guards against a node that has just started, without a configuration, and reports that
// a route doesn't exist: callers would take this as final.
func TestNodeWithoutConfigurationIsUnavailable(t *testing.T) {
	f := newFleet(t, 1)
	assert.Equal(t, f.send(0, "GET", "/nowhere/", "").Code, http.StatusNotFound)
	f.proxies[0].SetSnapshot(&Snapshot{})
	w := f.send(0, "GET", "/nowhere/", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "0.200")
}

// A target sheds every request although it reports free slots. Callers may retry soon,
// and the node must go on sending as many requests as before: if it reduced the target's
// slots, it would refuse requests that the target would serve.
func TestShedWithFreeSlotsKeepsSlots(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].serve = shedHandler("1,0,4")
	for range 3 * testSlots {
		w := f.send(0, "GET", "/idempotent/x", "")
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get("Retry-After"), "0.050")
	}
	var served sync.WaitGroup
	running := make(chan struct{}, testSlots)
	release := make(chan struct{})
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-release
		f.targets[0].respond(w, r)
	}
	for range testSlots {
		served.Go(func() { f.send(0, "GET", "/idempotent/x", "") })
	}
	for range testSlots {
		<-running
	}
	close(release)
	served.Wait()
}

// A target sheds a non-idempotent request, which proves that it did not run. It is sent
// to another target and runs once.
func TestShedRequestRunsElsewhereOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.targets[0].serve = shedHandler("1,0,4")
	f.proxies[0].stats["t1"].RecordFailure(time.Now())
	w := f.send(0, "POST", "/once/x", "filing")
	assert.Equal(t, w.Body.String(), "t1 ran /once/x filing")
	assert.Equal(t, f.totalArrivals(), 2)
}

// A target accepts a non-idempotent request and closes the connection. It is unknown
// whether the request ran, so it must not be retried, and the caller must not be told
// that it did not run.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	f := newFleet(t, 2)
	for _, target := range f.targets {
		target.serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	w := f.send(0, "POST", "/once/x", "filing")
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, f.totalArrivals(), 1)
}

// A response breaks off. The caller of an idempotent request gets the complete response
// of another target, never the partial one.
func TestInterruptedResponseIsRetried(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t1"].RecordFailure(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Body.String(), "t1 ran /idempotent/x ")
}

// A target answers 200 without the header that proves that it generated the response. The
// body may come from elsewhere and must not be forwarded.
func TestUnsignedResponseIsNotForwarded(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("spoilt")) }
	w := f.send(0, "POST", "/once/x", "")
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(w.Body.String(), "spoilt"))
}

// The address of a removed target is in use by another one, and the entry node doesn't
// know yet. The request must not run there.
func TestReusedAddressDoesNotRunRequest(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].id = "other"
	w := f.send(0, "POST", "/once/x", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(callhttp.HeaderReason), "misdirected")
}

// One target hangs. The caller of an idempotent request gets a response from another one
// within its deadline. If there is no other target, or it is full, or it refuses although
// its last load report showed free slots, the first attempt continues: cancelling it
// would waste the work of a target that is only slow, and leave the caller without a
// response.
func TestSlowAttemptIsCanceledOnlyForAnother(t *testing.T) {
	for _, test := range []struct {
		desc  string
		nodes int
		// waiting is the number of requests waiting at the other target.
		waiting int
		// refuses is set if the other target's node refuses although free slots were
		// reported.
		refuses bool
		want    string
	}{
		{"another target", 2, 0, false, "t1 ran /idempotent/x "},
		{"another target that is full", 2, 5, false, "t0 ran /idempotent/x "},
		{"another target that refuses as full", 2, 0, true, "t0 ran /idempotent/x "},
		{"no other target", 1, 0, false, "t0 ran /idempotent/x "},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, test.nodes)
			if test.nodes > 1 {
				f.proxies[0].stats["t1"].RecordFailure(time.Now())
				f.proxies[0].stats["t1"].RecordLoad(time.Now(), placement.Load{Running: testSlots * min(test.waiting, 1), Waiting: test.waiting, Slots: testSlots})
			}
			if test.refuses {
				f.proxies[1].gate.Configure(admissionTerms(0))
			}
			f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(time.Second):
					f.targets[0].respond(w, r)
				case <-r.Context().Done():
				}
			}
			assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Body.String(), test.want)
		})
	}
}

// A node is stopped while a target works slowly on a request received before. The node
// waits for the response instead of trying another target.
func TestStoppingNodeAwaitsResponses(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t1"].RecordFailure(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		f.proxies[0].Stop(time.Now().Add(time.Minute))
		time.Sleep(600 * time.Millisecond)
		f.targets[0].respond(w, r)
	}
	w := f.send(0, "GET", "/idempotent/x", "")
	assert.Equal(t, w.Body.String(), "t0 ran /idempotent/x ")
	assert.Equal(t, w.Header().Get("Connection"), "close")
}

// Every target fails. The retries of all requests must stay within the fleet's budget: a
// fraction of the requests, plus a fixed number.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFleet(t, 2)
	for _, p := range f.proxies {
		p.config.RetrySlack = 4
	}
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "proof")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	const requests = 40
	for range requests {
		assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Code, http.StatusInternalServerError)
	}
	assert.Assert(t, f.totalArrivals() <= requests+requests/5+2, "%d", f.totalArrivals())
}

// All targets are full. A retry of a caller that can't be in time any more is refused
// after the first full target; one that may still be in time is refused after both.
func TestOverdueRetryIsRefusedAtFirstFullTarget(t *testing.T) {
	for _, test := range []struct {
		desc   string
		waited time.Duration
		offers float64
	}{
		{"a new caller", 0, 2},
		{"a retry that may be in time", 50 * time.Millisecond, 2},
		{"a retry that is too late", time.Second, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			for _, p := range f.proxies {
				p.gate.Configure(admissionTerms(0))
			}
			now := time.Now()
			attempt := &clientretry.Request{Method: "GET", Host: "h", URI: "/idempotent/x", Deadline: now.Add(time.Second)}
			f.proxies[0].callerRetries.RecordFailure(now, attempt, now.Add(-test.waited))
			r := httptest.NewRequest("GET", "/idempotent/x", nil)
			r.Host = "h"
			r.Header.Set(headers.RequestID, nextRequestID())
			r.Header.Set(headers.Deadline, "1000")
			w := httptest.NewRecorder()
			f.proxies[0].ServeCaller(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			lines := f.trace(t)
			assert.Equal(t, lines[len(lines)-1].Fields[logfield.Attempts], test.offers)
		})
	}
}

// Guards against sending requests to a target long after its own node learned that it is
// draining.
func TestOwnerRefusesForDrainingTarget(t *testing.T) {
	for _, test := range []struct {
		desc  string
		since time.Duration
		want  string
	}{
		{"just now", 0, "t1 ran /once/x "},
		{"for longer than the grace period", testDrainGrace + time.Millisecond, "t0 ran /once/x "},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			f.proxies[0].stats["t0"].RecordFailure(time.Now())
			snapshot := *f.proxies[1].snapshot.Load()
			local := *snapshot.Local
			local.State, local.DrainingSince = mesh.Draining, time.Now().Add(-test.since)
			snapshot.Local = &local
			f.proxies[1].SetSnapshot(&snapshot)
			assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), test.want)
			assert.Equal(t, f.totalArrivals(), 1)
		})
	}
}

// A target's entry is removed from the platform, and an entry node learns of it later
// than the target's own node. After the grace period, the owner node refuses the request,
// and it runs at another target.
func TestOwnerRefusesForRemovedTarget(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	usableUntil := func(until time.Time) {
		snapshot := *f.proxies[1].snapshot.Load()
		local := *snapshot.Local
		local.UsableUntil = until
		snapshot.Local = &local
		f.proxies[1].SetSnapshot(&snapshot)
	}
	usableUntil(time.Now().Add(time.Minute))
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), "t1 ran /once/x ")
	usableUntil(time.Now())
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.totalArrivals(), 2)
}

// The owner node of the nearest target stops. The target keeps running and is used until
// the node is about to end. From then on, the node refuses requests as not executed, and
// they run at another target without counting as an arrival.
func TestStoppingOwnerRefusalCountsNoArrival(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[1].Stop(time.Now().Add(time.Minute))
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), "t1 ran /once/x ")
	f.proxies[1].StopLocal()
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.totalArrivals(), 2)
}

// A node is stopping, and a request may take longer than the node has left. It must not
// be sent to the node's target, where it would be cut off.
func TestStoppingNodeStartsNoLongRequest(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[1].Stop(time.Now().Add(time.Second))
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.totalArrivals(), 1)
}

// Guards against a stopping node that reads requests from kept-alive connections just
// before it ends, sends them to a target and then cuts them off. Requests certain to
// finish in time are served.
func TestStoppingNodeServesOnlyRequestsItCanFinish(t *testing.T) {
	for _, test := range []struct {
		desc    string
		endsIn  time.Duration
		stopped bool
		status  int
		runs    int
	}{
		{"callers may still arrive", time.Second, false, http.StatusOK, 1},
		{"callers have left, and the request may not finish in time", time.Second, true, http.StatusServiceUnavailable, 0},
		{"callers have left, and the request finishes in time", time.Minute, true, http.StatusOK, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			f.proxies[0].stats["t0"].RecordFailure(time.Now())
			f.proxies[0].Stop(time.Now().Add(test.endsIn))
			if test.stopped {
				f.proxies[0].StopLocal()
			}
			got := f.send(0, "POST", "/once/x", "")
			assert.Equal(t, got.Code, test.status)
			assert.Equal(t, got.Header().Get("Connection"), "close")
			assert.Equal(t, f.totalArrivals(), test.runs)
		})
	}
}

// A node restarts and refuses connections for two seconds. Its target must get requests
// again within half a second of the node's return, not after a backoff that has grown in
// the meantime.
func TestTargetIsUsedSoonAfterNodeRestart(t *testing.T) {
	f := newFleet(t, 2)
	stats := f.proxies[0].stats["t1"]
	now := time.Now()
	for down := now; down.Before(now.Add(2 * time.Second)); down = down.Add(10 * time.Millisecond) {
		if stats.Available(down) {
			stats.BackOffRestart(down)
		}
	}
	assert.Assert(t, stats.Available(now.Add(2500*time.Millisecond)))
}

// A route leads to a service without usable targets. Its requests are refused and not
// sent to another service. (The shares of a split are tested with the splitter.)
func TestServiceWithoutTargetsIsRefused(t *testing.T) {
	f := newFleet(t, 1)
	route := testRoute("/split/", mesh.Idempotent)
	route.Shares = []mesh.Share{{Service: "empty", Weight: 1}}
	snapshot := *f.proxies[0].snapshot.Load()
	snapshot.Table = mesh.NewTable(&mesh.Config{Version: 2, Routes: []mesh.Route{route}})
	f.proxies[0].SetSnapshot(&snapshot)
	assert.Equal(t, f.send(0, "GET", "/split/x", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.totalArrivals(), 0)
}

// A caller exceeds the limits of the active configuration. It gets the corresponding
// status, and nothing reaches a target.
func TestConfiguredLimitsAreEnforced(t *testing.T) {
	f := newFleet(t, 1)
	snapshot := *f.proxies[0].snapshot.Load()
	config := *f.table.Config
	config.Limits = mesh.Limits{HeaderBytes: 100, BodyBytes: 10}
	snapshot.Table = mesh.NewTable(&config)
	f.proxies[0].SetSnapshot(&snapshot)
	for _, test := range []struct {
		desc, path, body string
		status           int
	}{
		{"within", "/once/x", "0123456789", http.StatusOK},
		{"headers over the limit", "/once/" + strings.Repeat("x", 100), "", http.StatusRequestHeaderFieldsTooLarge},
		{"body over the limit", "/once/x", "0123456789a", http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.desc, func(t *testing.T) {
			assert.Equal(t, f.send(0, "POST", test.path, test.body).Code, test.status)
		})
	}
	assert.Equal(t, f.totalArrivals(), 1)
}

// Guards against equal fingerprints of different large bodies, of which no part is
// buffered, and against a large body that reaches its target without the part that was
// read ahead.
func TestLargeBodiesHaveDifferentFingerprints(t *testing.T) {
	f := newFleet(t, 1)
	seen := map[quarantine.Fingerprint]bool{}
	for _, letter := range []string{"a", "b"} {
		body := strings.Repeat(letter, requestbody.MaxBufferedBytes+1)
		w := f.send(0, "POST", "/once/x", body)
		assert.Equal(t, w.Body.String(), "t0 ran /once/x "+body)
		kept, length, err := requestbody.Read(strings.NewReader(body), int64(len(body)))
		assert.NilError(t, err)
		seen[fingerprintOf(&forwarder{method: "POST", uri: "/once/x", host: "h", length: length, body: kept})] = true
	}
	assert.Equal(t, len(seen), 2)
}

// Guards against a node that has just started and tells callers that its target serves them never: a
// request arrived between the first view of the mesh and the terms of admission.
func TestFirstSnapshotFindsTermsOfAdmission(t *testing.T) {
	f := newFleet(t, 1)
	started := New(f.proxies[0].config, f.proxies[0].ports)
	started.mu.Lock()
	var setting sync.WaitGroup
	setting.Go(func() { started.SetSnapshot(f.proxies[0].snapshot.Load()) })
	for started.snapshot.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	refusal := started.gate.Acquire(t.Context(), admission.Request{ID: "1", Customer: meshCustomer, Deadline: time.Now().Add(time.Second)})
	started.mu.Unlock()
	setting.Wait()
	assert.Assert(t, refusal == nil, "%v", refusal)
}
