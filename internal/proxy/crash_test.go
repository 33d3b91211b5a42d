package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
)

// poisonPath is the path of requests that crash each target that starts to run them.
const poisonPath = "/idempotent/poison"

// shareCrashes makes all nodes use the same crash reports, as if exchanged over feeds.
func (f *fleet) shareCrashes() *quarantine.SharedLedger {
	shared := quarantine.NewSharedLedger(wallClock{})
	for _, p := range f.proxies {
		p.crashes = shared
	}
	return shared
}

// crash ends a target's process: its listener and all its connections are closed.
func (s *testTarget) crash() { _ = s.server.Load().Close() }

// restart makes a crashed target listen again.
func (s *testTarget) restart(t *testing.T) {
	listener, err := net.Listen("tcp", s.address)
	assert.NilError(t, err)
	s.server.Store(serveUntilCleanup(t, listener, s))
}

// crashOnPoison makes all targets crash on poisonPath, and run other requests for the
// given time.
func (f *fleet) crashOnPoison(crashed *atomic.Int32, work time.Duration) {
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == poisonPath {
				time.Sleep(work / 2)
				crashed.Add(1)
				target.crash()
				return
			}
			time.Sleep(work)
			target.respond(w, r)
		}
	}
}

func reasonOf(w *httptest.ResponseRecorder) port.Reason {
	return port.Reason(w.Header().Get(callhttp.HeaderReason))
}

// warmUp sends a request to each target: only a target that answered before its crash
// makes its requests suspects.
func (f *fleet) warmUp(t *testing.T) {
	t.Helper()
	for i, target := range f.targets {
		for _, other := range f.targets {
			if other != target {
				f.proxies[i].stats[other.id].RecordFailure(time.Now())
			}
		}
		assert.Equal(t, f.send(i, "GET", fmt.Sprint("/idempotent/warm", i), "").Code, http.StatusOK)
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a request that crashes one target after another, and against refusing
// the requests that were running at the same time.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	f := newFleet(t, 6)
	shared := f.shareCrashes()
	f.warmUp(t)
	var crashed atomic.Int32
	f.crashOnPoison(&crashed, 20*time.Millisecond)
	var concurrent sync.WaitGroup
	var refused atomic.Int32
	for i := range 60 {
		concurrent.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			path := fmt.Sprint("/idempotent/beside", i)
			for range 4 {
				w := f.send(i%len(f.proxies), "GET", path, "")
				if reasonOf(w) == port.ReasonQuarantined {
					refused.Add(1)
				}
				if w.Code == http.StatusOK {
					return
				}
			}
		})
	}
	fingerprint := fingerprintOfPath(poisonPath)
	for i := 0; shared.BlockRemaining(fingerprint) == 0; i++ {
		assert.Assert(t, i < 20, "%d targets crashed", crashed.Load())
		known := shared.CrashCount(fingerprint)
		before := crashed.Load()
		w := f.send(i%len(f.proxies), "GET", poisonPath, "")
		assert.Assert(t, w.Code != http.StatusOK)
		if crashed.Load() > before {
			waitFor(t, "the crash is reported", func() bool {
				return shared.CrashCount(fingerprint) > known || shared.BlockRemaining(fingerprint) > 0
			})
		}
	}
	reached := crashed.Load()
	assert.Assert(t, reached <= 4, "%d", reached)
	for i := range f.proxies {
		w := f.send(i, "GET", poisonPath, "")
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, reasonOf(w), port.ReasonQuarantined)
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 60, "%f", seconds)
	}
	concurrent.Wait()
	assert.Equal(t, crashed.Load(), reached)
	assert.Equal(t, refused.Load(), int32(0))
}

func fingerprintOfPath(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&quarantine.Content{Method: "GET", Host: "h", URI: path})
}

// Guards against suspecting requests when connections break while the target keeps
// running, or when a target that was leaving ends.
func TestCrashDetection(t *testing.T) {
	for _, test := range []struct {
		desc  string
		serve func(f *fleet) func(http.ResponseWriter, *http.Request)
		leave bool
		want  int
	}{
		{"a target crashes", func(f *fleet) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { f.targets[0].crash() }
		}, false, 1},
		{"a response is lost", func(*fleet) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		}, false, 0},
		{"a response breaks off", func(*fleet) func(http.ResponseWriter, *http.Request) {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headers.Signature, "proof")
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("half"))
			}
		}, false, 0},
		{"a leaving target ends", func(f *fleet) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { f.targets[0].crash() }
		}, true, 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 1)
			p := f.proxies[0]
			f.targets[0].serve = test.serve(f)
			if test.leave {
				snapshot := *p.snapshot.Load()
				local := *snapshot.Local
				local.DrainingSince = time.Now()
				snapshot.Local = &local
				p.SetSnapshot(&snapshot)
			}
			f.send(0, "POST", "/once/x", "filing")
			waitFor(t, "the target is checked", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return !p.localRuns.checking && len(p.localRuns.running) == 0
			})
			fingerprint := quarantine.FingerprintOf(&quarantine.Content{
				Method: "POST", Host: "h", URI: "/once/x", Length: 6, Body: []byte("filing"),
			})
			waitForCrashCount(t, p.crashes, fingerprint, test.want)
		})
	}
}

// holdCrashChecks makes a node queue the checks of its target instead of running them later.
func (p *Proxy) holdCrashChecks() <-chan func() {
	checks := make(chan func(), 100)
	p.localRuns.schedule = func(_ time.Duration, check func()) { checks <- check }
	return checks
}

// A target that crashes closes the connection of a request, and some checks later the rest of
// its connections and its listener. Guards against a crash that is not reported because the
// target still listened at the first check.
func TestCrashThatTakesLongIsReported(t *testing.T) {
	for before := range maxCrashChecks {
		t.Run(fmt.Sprint(before, " checks before"), func(t *testing.T) {
			f := newFleet(t, 1)
			f.warmUp(t)
			p, checks := f.proxies[0], f.proxies[0].holdCrashChecks()
			f.targets[0].serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
			f.send(0, "GET", poisonPath, "")
			for range before {
				(<-checks)()
			}
			f.targets[0].crash()
			(<-checks)()
			assert.Equal(t, p.crashes.CrashCount(fingerprintOfPath(poisonPath)), 1)
			assert.Equal(t, len(checks), 0)
			assert.Assert(t, !p.localRuns.checking && len(p.localRuns.broken) == 0)
		})
	}
}

// Guards against a crash that is not reported because its connections end during the last
// check of the target for an earlier connection.
func TestCrashDuringLastCheckIsReported(t *testing.T) {
	f := newFleet(t, 1)
	f.warmUp(t)
	p, checks := f.proxies[0], f.proxies[0].holdCrashChecks()
	f.targets[0].serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f.send(0, "POST", "/once/x", "")
	for range maxCrashChecks - 1 {
		(<-checks)()
	}
	// The last check begins and finds the target listening.
	<-checks
	began := p.ports.Clock.Now()
	f.send(0, "GET", poisonPath, "")
	assert.Assert(t, p.checkAgain(began))
	f.targets[0].crash()
	(<-checks)()
	assert.Equal(t, p.crashes.CrashCount(fingerprintOfPath(poisonPath)), 1)
	assert.Equal(t, p.crashes.CrashCount(quarantine.FingerprintOf(&quarantine.Content{Method: "POST", Host: "h", URI: "/once/x"})), 0)
}

// A target ends connections and stays. Guards against checks without end.
func TestChecksOfTargetThatStaysEnd(t *testing.T) {
	f := newFleet(t, 1)
	p := f.proxies[0]
	checks := p.holdCrashChecks()
	f.targets[0].serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f.send(0, "POST", "/once/x", "")
	for range maxCrashChecks {
		(<-checks)()
	}
	assert.Equal(t, len(checks), 0)
	assert.Assert(t, !p.localRuns.checking && len(p.localRuns.broken) == 0)
}

func waitForCrashCount(t *testing.T, crashes *quarantine.SharedLedger, request quarantine.Fingerprint, want int) {
	t.Helper()
	waitFor(t, fmt.Sprint("count ", want), func() bool { return crashes.CrashCount(request) == want })
}

// addCrashes reports the given number of crashes with the paths as suspects, each crash
// together with another suspect.
func addCrashes(crashes *quarantine.SharedLedger, times int, paths ...string) {
	for i := range times {
		c := quarantine.Crash{ID: uint64(i + 1), Answered: true, Suspects: []quarantine.Fingerprint{quarantine.Fingerprint(i + 1)}}
		for _, path := range paths {
			c.Suspects = append(c.Suspects, fingerprintOfPath(path))
		}
		crashes.RecordCrash(c)
	}
}

// Guards against two suspects that always run at the same time: a crash then doesn't show
// which of them caused it.
func TestSuspectsRunOneAtATime(t *testing.T) {
	f := newFleet(t, 1)
	crashes := f.shareCrashes()
	suspects := []string{"/idempotent/a", "/idempotent/b", "/idempotent/c"}
	addCrashes(crashes, isolateThreshold, suspects...)
	var together, maxTogether, others atomic.Int32
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/idempotent/other") {
			others.Add(1)
			f.targets[0].respond(w, r)
			return
		}
		maxTogether.Store(max(maxTogether.Load(), together.Add(1)))
		time.Sleep(10 * time.Millisecond)
		together.Add(-1)
		f.targets[0].respond(w, r)
	}
	var callers sync.WaitGroup
	for i, path := range suspects {
		callers.Go(func() { assert.Check(t, f.send(0, "GET", path, "").Code == http.StatusOK, path) })
		callers.Go(func() { f.send(0, "GET", fmt.Sprint("/idempotent/other", i), "") })
	}
	callers.Wait()
	assert.Equal(t, maxTogether.Load(), int32(1))
	assert.Equal(t, others.Load(), int32(len(suspects)))
	for _, path := range suspects {
		// Each ran to completion and is no longer suspected.
		assert.Equal(t, crashes.CrashCount(fingerprintOfPath(path)), 0)
	}
}

// Guards against retrying a request that was running during an earlier crash: a second
// target might crash.
func TestSuspectIsNotRetried(t *testing.T) {
	f := newFleet(t, 3)
	for _, target := range f.targets {
		target.serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	addCrashes(f.shareCrashes(), 1, "/idempotent/x")
	assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Code, http.StatusBadGateway)
	assert.Equal(t, f.totalArrivals(), 1)
	assert.Equal(t, f.send(0, "GET", "/idempotent/y", "").Code, http.StatusBadGateway)
	assert.Equal(t, f.totalArrivals(), 3)
}

// Guards against taking the crash of a restarted target for the previous crash.
func TestCrashOfRestartedTargetIsCounted(t *testing.T) {
	f := newFleet(t, 1)
	crashes := f.proxies[0].crashes
	fingerprint := fingerprintOfPath(poisonPath)
	var crashed atomic.Int32
	f.crashOnPoison(&crashed, 0)
	for count := 1; count <= 2; count++ {
		f.warmUp(t)
		f.send(0, "GET", poisonPath, "")
		waitForCrashCount(t, crashes, fingerprint, count)
		f.targets[0].restart(t)
	}
	// A crash of a target that never answered since its start makes no request a suspect.
	f.send(0, "GET", poisonPath, "")
	waitForCrashCount(t, crashes, fingerprint, 0)
	assert.Assert(t, crashes.BlockRemaining(fingerprint) > 0)
}

// Guards against a request that stays suspected at a node that receives crash reports but
// no reports of completed runs: a response that the node forwards clears the suspicion as
// well.
func TestForwardedResponseClearsSuspicion(t *testing.T) {
	f := newFleet(t, 2)
	crashes := quarantine.NewSharedLedger(wallClock{})
	f.proxies[0].crashes = crashes
	f.proxies[0].stats["t0"].BackOff(time.Now())
	addCrashes(crashes, 1, "/idempotent/x")
	assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Body.String(), "t1 ran /idempotent/x ")
	assert.Equal(t, crashes.CrashCount(fingerprintOfPath("/idempotent/x")), 0)
}
