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

// poisonPath crashes each target that begins to run it.
const poisonPath = "/idempotent/poison"

// share lets all nodes know the same of crashes, as feeds do.
func (f *fleet) share() *quarantine.SharedLedger {
	shared := quarantine.NewSharedLedger(wallClock{})
	for _, p := range f.proxies {
		p.crashes = shared
	}
	return shared
}

// crash ends a target's process. Its listener and all its connections close.
func (s *testTarget) crash() { _ = s.server.Load().Close() }

// restart lets a target that crashed listen again.
func (s *testTarget) restart(t *testing.T) {
	listener, err := net.Listen("tcp", s.address)
	assert.NilError(t, err)
	s.server.Store(serveUntilEnd(t, listener, s))
}

// crashesUnder lets all targets crash under the poison and run all else for a time.
func (f *fleet) crashesUnder(crashed *atomic.Int32, work time.Duration) {
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == poisonPath {
				time.Sleep(work / 2)
				crashed.Add(1)
				target.crash()
				return
			}
			time.Sleep(work)
			target.runs(w, r)
		}
	}
}

func reasonOf(w *httptest.ResponseRecorder) port.Reason {
	return port.Reason(w.Header().Get(callhttp.HeaderReason))
}

// warmUp lets each target answer a request, so that its crash says something.
func (f *fleet) warmUp(t *testing.T) {
	t.Helper()
	for i, target := range f.targets {
		for _, other := range f.targets {
			if other != target {
				f.proxies[i].stats[other.id].RecordFailure(time.Now())
			}
		}
		assert.Equal(t, f.ask(i, "GET", fmt.Sprint("/idempotent/warm", i), "").Code, http.StatusOK)
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

// Guards against a request that crashes one target after another, and against refusing those
// that ran beside it.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	f := newFleet(t, 6)
	shared := f.share()
	f.warmUp(t)
	var crashed atomic.Int32
	f.crashesUnder(&crashed, 20*time.Millisecond)
	var beside sync.WaitGroup
	var refused atomic.Int32
	for i := range 60 {
		beside.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			path := fmt.Sprint("/idempotent/beside", i)
			for range 4 {
				w := f.ask(i%len(f.proxies), "GET", path, "")
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
		w := f.ask(i%len(f.proxies), "GET", poisonPath, "")
		assert.Assert(t, w.Code != http.StatusOK)
		if crashed.Load() > before {
			waitFor(t, "the crash is told", func() bool {
				return shared.CrashCount(fingerprint) > known || shared.BlockRemaining(fingerprint) > 0
			})
		}
	}
	reached := crashed.Load()
	assert.Assert(t, reached <= 4, "%d", reached)
	for i := range f.proxies {
		w := f.ask(i, "GET", poisonPath, "")
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, reasonOf(w), port.ReasonQuarantined)
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 60, "%f", seconds)
	}
	beside.Wait()
	assert.Equal(t, crashed.Load(), reached)
	assert.Equal(t, refused.Load(), int32(0))
}

func fingerprintOfPath(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&quarantine.Content{Method: "GET", Host: "h", URI: path})
}

// Guards against suspecting requests for connections that break while the target lives, and for
// a target that was to leave.
func TestWhatIsNoCrash(t *testing.T) {
	for _, test := range []struct {
		desc  string
		serve func(f *fleet) func(http.ResponseWriter, *http.Request)
		leave bool
		want  int
	}{
		{"a target crashes", func(f *fleet) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { f.targets[0].crash() }
		}, false, 1},
		{"an answer is lost", func(*fleet) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		}, false, 0},
		{"an answer breaks off", func(*fleet) func(http.ResponseWriter, *http.Request) {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headers.Proof, "proof")
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("half"))
			}
		}, false, 0},
		{"a target that leaves ends", func(f *fleet) func(http.ResponseWriter, *http.Request) {
			return func(http.ResponseWriter, *http.Request) { f.targets[0].crash() }
		}, true, 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 1)
			p := f.proxies[0]
			f.targets[0].serve = test.serve(f)
			if test.leave {
				picture := *p.picture.Load()
				own := *picture.Own
				own.DrainingSince = time.Now()
				picture.Own = &own
				p.SetPicture(&picture)
			}
			f.ask(0, "POST", "/once/x", "filing")
			waitFor(t, "the target is looked at", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return !p.runs.looking && len(p.runs.running) == 0
			})
			fingerprint := quarantine.FingerprintOf(&quarantine.Content{
				Method: "POST", Host: "h", URI: "/once/x", Length: 6, Body: []byte("filing"),
			})
			waitForCount(t, p.crashes, fingerprint, test.want)
		})
	}
}

func waitForCount(t *testing.T, crashes *quarantine.SharedLedger, request quarantine.Fingerprint, want int) {
	t.Helper()
	waitFor(t, fmt.Sprint("count ", want), func() bool { return crashes.CrashCount(request) == want })
}

// suspect lets requests have run beside so many crashes, each of them beside others.
func suspect(crashes *quarantine.SharedLedger, times int, paths ...string) {
	for i := range times {
		c := quarantine.Crash{ID: uint64(i + 1), Answered: true, Suspects: []quarantine.Fingerprint{quarantine.Fingerprint(i + 1)}}
		for _, path := range paths {
			c.Suspects = append(c.Suspects, fingerprintOfPath(path))
		}
		crashes.RecordCrash(c)
	}
}

// Guards against crashes that can't tell two suspects apart, since both ran.
func TestSuspectsRunOneAtATime(t *testing.T) {
	f := newFleet(t, 1)
	crashes := f.share()
	suspects := []string{"/idempotent/a", "/idempotent/b", "/idempotent/c"}
	suspect(crashes, isolateFrom, suspects...)
	var together, most, others atomic.Int32
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/idempotent/other") {
			others.Add(1)
			f.targets[0].runs(w, r)
			return
		}
		most.Store(max(most.Load(), together.Add(1)))
		time.Sleep(10 * time.Millisecond)
		together.Add(-1)
		f.targets[0].runs(w, r)
	}
	var asked sync.WaitGroup
	for i, path := range suspects {
		asked.Go(func() { assert.Check(t, f.ask(0, "GET", path, "").Code == http.StatusOK, path) })
		asked.Go(func() { f.ask(0, "GET", fmt.Sprint("/idempotent/other", i), "") })
	}
	asked.Wait()
	assert.Equal(t, most.Load(), int32(1))
	assert.Equal(t, others.Load(), int32(len(suspects)))
	for _, path := range suspects {
		// Each has run to its end and is suspected no more.
		assert.Equal(t, crashes.CrashCount(fingerprintOfPath(path)), 0)
	}
}

// Guards against a second target that crashes under a request which ran beside a crash before.
func TestSuspectIsNotRepeated(t *testing.T) {
	f := newFleet(t, 3)
	for _, target := range f.targets {
		target.serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	suspect(f.share(), 1, "/idempotent/x")
	assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Code, http.StatusBadGateway)
	assert.Equal(t, f.arrivals(), 1)
	assert.Equal(t, f.ask(0, "GET", "/idempotent/y", "").Code, http.StatusBadGateway)
	assert.Equal(t, f.arrivals(), 3)
}

// Guards against the crash of a target that started anew which is taken for the one before.
func TestEachStartMayCrash(t *testing.T) {
	f := newFleet(t, 1)
	crashes := f.proxies[0].crashes
	fingerprint := fingerprintOfPath(poisonPath)
	var crashed atomic.Int32
	f.crashesUnder(&crashed, 0)
	for count := 1; count <= 2; count++ {
		f.warmUp(t)
		f.ask(0, "GET", poisonPath, "")
		waitForCount(t, crashes, fingerprint, count)
		f.targets[0].restart(t)
	}
	// One that never answered tells nothing of what it ran.
	f.ask(0, "GET", poisonPath, "")
	waitForCount(t, crashes, fingerprint, 0)
	assert.Assert(t, crashes.BlockRemaining(fingerprint) > 0)
}

// Guards against a request that stays suspected at a node which hears of crashes and
// of no run elsewhere: the answers that it passes on itself clear it.
func TestAnswerClearsItsRequest(t *testing.T) {
	f := newFleet(t, 2)
	crashes := quarantine.NewSharedLedger(wallClock{})
	f.proxies[0].crashes = crashes
	f.proxies[0].stats["t0"].BackOff(time.Now())
	suspect(crashes, 1, "/idempotent/x")
	assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Body.String(), "t1 ran /idempotent/x ")
	assert.Equal(t, crashes.CrashCount(fingerprintOfPath("/idempotent/x")), 0)
}
