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
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/requestbody"
	"tamarackquay/internal/routing/clientretry"
)

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].Avoid(time.Now())
	var got http.Header
	f.targets[1].serve = func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		f.targets[1].runs(w, r)
	}
	w := f.ask(0, "POST", "/once/a%2fb?q=1", "body")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "t1 ran /once/a%2fb?q=1 body")
	assert.Equal(t, got.Get(headers.CallerService), "caller-service")
	assert.Equal(t, got.Get(headers.ExpectedTarget), "t1")
	assert.Assert(t, got.Get(headers.Deadline) != "")
	for name := range got {
		assert.Assert(t, !strings.HasPrefix(name, callhttp.HeaderPrefix), name)
	}
}

// A node that has just started knows no configuration. It must not say that a
// route doesn't exist, which callers would believe.
func TestNodeWithoutConfigurationIsNotSure(t *testing.T) {
	f := newFleet(t, 1)
	assert.Equal(t, f.ask(0, "GET", "/nowhere/", "").Code, http.StatusNotFound)
	f.proxies[0].SetPicture(&Picture{})
	w := f.ask(0, "GET", "/nowhere/", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "0.200")
}

// A target turns every request away though it says that it has free slots. The
// callers are asked back soon, and the node goes on offering it as much as
// before: counting its slots down would turn away those whom it would serve.
func TestShedWithRoomTakesNoSlots(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].serve = sheds("1,0,4")
	for range 3 * testSlots {
		w := f.ask(0, "GET", "/idempotent/x", "")
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get("Retry-After"), "0.050")
	}
	var served sync.WaitGroup
	running := make(chan struct{}, testSlots)
	release := make(chan struct{})
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-release
		f.targets[0].runs(w, r)
	}
	for range testSlots {
		served.Go(func() { f.ask(0, "GET", "/idempotent/x", "") })
	}
	for range testSlots {
		<-running
	}
	close(release)
	served.Wait()
}

// A target sheds a filing, which is proof that it did not run. It is offered to
// another target, and runs once.
func TestShedFilingRunsElsewhereOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.targets[0].serve = sheds("1,0,4")
	f.proxies[0].stats["t1"].Failed(time.Now())
	w := f.ask(0, "POST", "/once/x", "filing")
	assert.Equal(t, w.Body.String(), "t1 ran /once/x filing")
	assert.Equal(t, f.arrivals(), 2)
}

// A target takes a filing and breaks off. Nobody knows whether it ran, so it is
// not sent again, and the caller isn't told that it did not run.
func TestFilingOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	f := newFleet(t, 2)
	for _, target := range f.targets {
		target.serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	w := f.ask(0, "POST", "/once/x", "filing")
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, f.arrivals(), 1)
}

// An answer breaks off midway. The caller of an idempotent request gets the
// whole answer of another target, never the part.
func TestBrokenAnswerIsHadAgain(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t1"].Failed(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Proof, "proof")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Body.String(), "t1 ran /idempotent/x ")
}

// A target answers 200 without the proof that it made the answer. Its bytes are
// somebody else's and are not passed on.
func TestSuccessWithoutProofIsNotPassedOn(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("spoilt")) }
	w := f.ask(0, "POST", "/once/x", "")
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(w.Body.String(), "spoilt"))
}

// The address of a target that has gone belongs to another one now, and the
// entry node has not heard. The request doesn't run there.
func TestReusedAddressRunsNothing(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].id = "stranger"
	w := f.ask(0, "POST", "/once/x", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(callhttp.HeaderReason), "misdirected")
}

// One target hangs. The caller of an idempotent request gets its answer from
// another one within its deadline. Where there is no other, the other is full, or it
// refuses though it was believed to have room, the attempt runs on: giving it up would
// waste the work of a target that is only slow, and leave the caller without an answer.
func TestSlowAttemptIsGivenUpOnlyForAnother(t *testing.T) {
	for _, test := range []struct {
		desc  string
		nodes int
		// waiting is how many wait at the other target.
		waiting int
		// refuses says that the other target's node has no room after all.
		refuses bool
		want    string
	}{
		{"another target", 2, 0, false, "t1 ran /idempotent/x "},
		{"another target that is full", 2, 5, false, "t0 ran /idempotent/x "},
		{"another target that turns out to be full", 2, 0, true, "t0 ran /idempotent/x "},
		{"no other target", 1, 0, false, "t0 ran /idempotent/x "},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, test.nodes)
			if test.nodes > 1 {
				f.proxies[0].stats["t1"].Failed(time.Now())
				f.proxies[0].stats["t1"].Heard(time.Now(), placement.Load{Running: testSlots * min(test.waiting, 1), Waiting: test.waiting, Slots: testSlots})
			}
			if test.refuses {
				f.proxies[1].gate.Configure(ownTerms(0))
			}
			f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(time.Second):
					f.targets[0].runs(w, r)
				case <-r.Context().Done():
				}
			}
			assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Body.String(), test.want)
		})
	}
}

// A node is told to stop while a target works slowly on a request that came in
// before. The answer is waited for, though another target could be asked.
func TestStoppingNodeGivesNothingUp(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t1"].Failed(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		f.proxies[0].Stop(time.Now().Add(time.Minute))
		time.Sleep(600 * time.Millisecond)
		f.targets[0].runs(w, r)
	}
	w := f.ask(0, "GET", "/idempotent/x", "")
	assert.Equal(t, w.Body.String(), "t0 ran /idempotent/x ")
	assert.Equal(t, w.Header().Get("Connection"), "close")
}

// Every target fails. The further attempts of all requests stay within the
// fleet's budget: a part of the requests, and a few besides.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	f := newFleet(t, 2)
	for _, p := range f.proxies {
		p.config.RepeatFew = 4
	}
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Proof, "proof")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	const asked = 40
	for range asked {
		assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Code, http.StatusInternalServerError)
	}
	assert.Assert(t, f.arrivals() <= asked+asked/5+2, "%d", f.arrivals())
}

// All targets are full. A caller who came back, too late to be in time, is refused by
// the first one that has no room, and one who may still be in time after both.
func TestOverdueCallersAreRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		desc   string
		waited time.Duration
		offers float64
	}{
		{"a new caller", 0, 2},
		{"one who came back in time", 50 * time.Millisecond, 2},
		{"one who came back too late", time.Second, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			for _, p := range f.proxies {
				p.gate.Configure(ownTerms(0))
			}
			now := time.Now()
			attempt := &clientretry.Request{Method: "GET", Host: "h", URI: "/idempotent/x", Deadline: now.Add(time.Second)}
			f.proxies[0].callers.RecordFailure(now, attempt, now.Add(-test.waited))
			r := httptest.NewRequest("GET", "/idempotent/x", nil)
			r.Host = "h"
			r.Header.Set(headers.RequestID, nextRequest())
			r.Header.Set(headers.Deadline, "1000")
			w := httptest.NewRecorder()
			f.proxies[0].ServeCaller(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			lines := f.traced(t)
			assert.Equal(t, lines[len(lines)-1].Fields[logfield.Offers], test.offers)
		})
	}
}

// Guards against late work for a target whose own node has known for long that it drains.
func TestOwnerEndsTheWorkOfADrainingTarget(t *testing.T) {
	for _, test := range []struct {
		desc  string
		since time.Duration
		want  string
	}{
		{"just now", 0, "t1 ran /once/x "},
		{"for longer than late work is given", testDrainWork + time.Millisecond, "t0 ran /once/x "},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			f.proxies[0].stats["t0"].Failed(time.Now())
			picture := *f.proxies[1].picture.Load()
			own := *picture.Own
			own.State, own.DrainingSince = mesh.Draining, time.Now().Add(-test.since)
			picture.Own = &own
			f.proxies[1].SetPicture(&picture)
			assert.Equal(t, f.ask(0, "POST", "/once/x", "").Body.String(), test.want)
			assert.Equal(t, f.arrivals(), 1)
		})
	}
}

// The entry of a target is gone from the platform, and an entry node hears of it
// later than the target's own node. The target gets no work beyond the grace, by
// its own node's word; the request goes elsewhere.
func TestOwnerEndsTheGraceOfAGoneTarget(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].Failed(time.Now())
	usableUntil := func(until time.Time) {
		picture := *f.proxies[1].picture.Load()
		own := *picture.Own
		own.UsableUntil = until
		picture.Own = &own
		f.proxies[1].SetPicture(&picture)
	}
	usableUntil(time.Now().Add(time.Minute))
	assert.Equal(t, f.ask(0, "POST", "/once/x", "").Body.String(), "t1 ran /once/x ")
	usableUntil(time.Now())
	assert.Equal(t, f.ask(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.arrivals(), 2)
}

// The owner node of the nearest target stops. Its target, which runs on, is used
// until the node is about to end. From then on it refuses as not run, and the
// request goes elsewhere without an arrival.
func TestStoppingOwnerCostsNoArrival(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[1].Stop(time.Now().Add(time.Minute))
	f.proxies[0].stats["t0"].Failed(time.Now())
	assert.Equal(t, f.ask(0, "POST", "/once/x", "").Body.String(), "t1 ran /once/x ")
	f.proxies[1].StopOwn()
	assert.Equal(t, f.ask(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.arrivals(), 2)
}

// A node stops, and a request comes that may take longer than the node has. Its
// target isn't given it: it would be cut in the middle of the work.
func TestStoppingNodeBeginsNothingThatItMustCut(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[1].Stop(time.Now().Add(time.Second))
	f.proxies[0].stats["t0"].Failed(time.Now())
	assert.Equal(t, f.ask(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.arrivals(), 1)
}

// Guards against requests on kept connections that a stopping node reads just before it
// ends, gives to a target and then cuts. Those that are surely over are served.
func TestStoppingNodeTakesNoCallerThatItMustCut(t *testing.T) {
	for _, test := range []struct {
		desc    string
		endsIn  time.Duration
		stopped bool
		status  int
		runs    int
	}{
		{"callers may still come", time.Second, false, http.StatusOK, 1},
		{"callers have left, and it may take longer than the node has", time.Second, true, http.StatusServiceUnavailable, 0},
		{"callers have left, and it is surely over", time.Minute, true, http.StatusOK, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			f.proxies[0].stats["t0"].Failed(time.Now())
			f.proxies[0].Stop(time.Now().Add(test.endsIn))
			if test.stopped {
				f.proxies[0].StopOwn()
			}
			got := f.ask(0, "POST", "/once/x", "")
			assert.Equal(t, got.Code, test.status)
			assert.Equal(t, got.Header().Get("Connection"), "close")
			assert.Equal(t, f.arrivals(), test.runs)
		})
	}
}

// A node restarts and refuses connections for two seconds. Its target gets work
// again within half a second of its return, not after a pause that has grown
// meanwhile.
func TestTargetOfARestartedNodeIsSoonUsed(t *testing.T) {
	f := newFleet(t, 2)
	stats := f.proxies[0].stats["t1"]
	now := time.Now()
	for down := now; down.Before(now.Add(2 * time.Second)); down = down.Add(10 * time.Millisecond) {
		if stats.Available(down) {
			stats.AvoidRestart(down)
		}
	}
	assert.Assert(t, stats.Available(now.Add(2500*time.Millisecond)))
}

// Both parts of a split lead to one service here; the shares are counted at the
// splitter's own test. What has no usable target is refused and goes nowhere
// else.
func TestPartWithoutTargetsIsRefused(t *testing.T) {
	f := newFleet(t, 1)
	route := testRoute("/split/", mesh.Idempotent)
	route.Shares = []mesh.Share{{Service: "empty", Weight: 1}}
	picture := *f.proxies[0].picture.Load()
	picture.Table = mesh.NewTable(&mesh.Config{Version: 2, Routes: []mesh.Route{route}})
	f.proxies[0].SetPicture(&picture)
	assert.Equal(t, f.ask(0, "GET", "/split/x", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.arrivals(), 0)
}

// A caller sends headers over the limit of the configuration in force. It is told
// so, and nothing reaches a target.
func TestLimitsOfTheConfiguration(t *testing.T) {
	f := newFleet(t, 1)
	picture := *f.proxies[0].picture.Load()
	config := *f.table.Config
	config.Limits = mesh.Limits{HeaderBytes: 100, BodyBytes: 10}
	picture.Table = mesh.NewTable(&config)
	f.proxies[0].SetPicture(&picture)
	for _, test := range []struct {
		desc, path, body string
		status           int
	}{
		{"within", "/once/x", "0123456789", http.StatusOK},
		{"headers over the limit", "/once/" + strings.Repeat("x", 100), "", http.StatusRequestHeaderFieldsTooLarge},
		{"body over the limit", "/once/x", "0123456789a", http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.desc, func(t *testing.T) {
			assert.Equal(t, f.ask(0, "POST", test.path, test.body).Code, test.status)
		})
	}
	assert.Equal(t, f.arrivals(), 1)
}

// Guards against large bodies that are taken for one request since none of them is kept, and
// against one that reaches its target without what was read ahead of it.
func TestLargeBodiesAreToldApart(t *testing.T) {
	f := newFleet(t, 1)
	seen := map[quarantine.Fingerprint]bool{}
	for _, letter := range []string{"a", "b"} {
		body := strings.Repeat(letter, requestbody.KeptBytes+1)
		w := f.ask(0, "POST", "/once/x", body)
		assert.Equal(t, w.Body.String(), "t0 ran /once/x "+body)
		kept, length, err := requestbody.Read(strings.NewReader(body), int64(len(body)))
		assert.NilError(t, err)
		seen[fingerprintOf(&flight{method: "POST", uri: "/once/x", host: "h", length: length, body: kept})] = true
	}
	assert.Equal(t, len(seen), 2)
}
