package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
)

func testConfig() Config {
	return Config{Entries: []string{"127.0.0.1:8300"}, Rate: 100, Duration: 4 * time.Second, InFlightLimit: 1000,
		Mix: Mix{Tally: 1}, ArchiveBytes: 1, Timeout: 10 * time.Second}
}

type callerFunc func(ctx context.Context, call Call) Outcome

func (f callerFunc) Do(ctx context.Context, call Call) Outcome { return f(ctx, call) }

// Guards against coordinated omission. The system responds at once, except for a stall
// of one second. A closed-loop generator, which waits for each response before it sends
// the next call, would record one slow call of 300; an open-loop one records a hundred.
func TestNoCoordinatedOmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		stall := callerFunc(func(context.Context, Call) Outcome {
			if since := time.Since(start); since >= time.Second && since < 2*time.Second {
				time.Sleep(2*time.Second - since)
			}
			return Answered
		})
		run, err := Run(t.Context(), testConfig(), stall)
		assert.NilError(t, err)
		assert.Equal(t, run.Kinds[0].Outcomes[string(Answered)], 400)
		slow := 0
		for _, wait := range run.Kinds[0].Curve {
			if wait.MS < 100 {
				slow = int(400 * (1 - wait.Quantile/100))
			}
		}
		assert.Check(t, slow >= 80 && slow <= 100, "%d calls waited 100 ms or more", slow)
		assert.Check(t, run.Kinds[0].Latency.Max >= 999, "%v", run.Kinds[0].Latency)
	})
}

// No call gets a response. Guards against calls over the in-flight bound that are sent
// late or not counted, and against a run that does not end after the timeouts.
func TestCallsOverInFlightBoundAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.InFlightLimit = 3
		run, err := Run(t.Context(), config, callerFunc(func(ctx context.Context, _ Call) Outcome {
			<-ctx.Done()
			return Broken
		}))
		assert.NilError(t, err)
		assert.DeepEqual(t, run.Kinds[0].Outcomes, map[string]int{string(Broken): 3, string(NotSent): 397})
	})
}

func TestWarmUpIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.WarmUp = time.Second
		run, err := Run(t.Context(), config, callerFunc(func(context.Context, Call) Outcome { return Answered }))
		assert.NilError(t, err)
		assert.Equal(t, run.Kinds[0].Calls, 400)
	})
}

func TestBoundsAndAddresses(t *testing.T) {
	for _, test := range []struct {
		desc string
		edit func(*Config)
		want string
	}{
		{"valid", func(*Config) {}, ""},
		{"IPv6 loopback", func(c *Config) { c.Entries = []string{"[::1]:80"} }, ""},
		{"another machine", func(c *Config) { c.Entries = []string{"10.0.0.1:80"} }, "not a loopback address"},
		{"unspecified address", func(c *Config) { c.Entries = []string{"0.0.0.0:80"} }, "not a loopback address"},
		{"host name", func(c *Config) { c.Entries = []string{"localhost:80"} }, "not an address"},
		{"rate too high", func(c *Config) { c.Rate = 1e9 }, "rate"},
		{"no rate", func(c *Config) { c.Rate = 0 }, "rate"},
		{"duration too long", func(c *Config) { c.Duration = time.Hour }, "duration"},
		{"too many calls", func(c *Config) { c.Rate, c.Duration = MaxRate, MaxDuration }, "calls"},
		{"no mix", func(c *Config) { c.Mix = nil }, "mix"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			config := testConfig()
			test.edit(&config)
			if test.want == "" {
				assert.NilError(t, config.Check())
				return
			}
			assert.ErrorContains(t, config.Check(), test.want)
		})
	}
}

func TestSignals(t *testing.T) {
	for _, bad := range []string{"1:KILL@1s", "0:KILL@1s", "-5:KILL@1s", "7:HUP@1s", "7:KILL", "7@1s", "7:KILL@soon"} {
		_, err := ParseSignal(bad)
		assert.Check(t, err != nil, bad)
	}
	child := exec.Command("sleep", "60")
	assert.NilError(t, child.Start())
	signal := Signal{PID: child.Process.Pid, Name: "KILL"}
	signal.deliver(t.Context(), time.Now())
	assert.Error(t, child.Wait(), "signal: killed")
}

// Guards against outcomes that are confused with each other. A response that belongs to
// another caller must never occur, so it must not be counted as a broken one.
func TestResponseOutcomes(t *testing.T) {
	for _, test := range []struct {
		desc    string
		kind    Kind
		respond func(w http.ResponseWriter, r *http.Request)
		want    Outcome
	}{
		{"own echo", Tally, func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, `{"echo":"`+r.Header.Get("Echo")+`"}`)
		}, Answered},
		{"echo of another call", Tally, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"echo":"call-8"}`) }, Wrong},
		{"receipt of another return", Return, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"sha256":"00"}`) }, Wrong},
		{"complete archive", Archive, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "3")
			io.WriteString(w, "abc")
		}, Answered},
		{"archive that ends early", Archive, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "3")
			io.WriteString(w, "ab")
		}, Broken},
		{"archive of other bytes", Archive, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "abd") }, Wrong},
		{"refusal", Tally, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(callhttp.HeaderOutcome, callhttp.OutcomeDidNotRun)
			w.Header().Set(callhttp.HeaderReason, "limit")
			w.WriteHeader(http.StatusTooManyRequests)
		}, Refused("limit")},
		{"unknown outcome", Return, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(callhttp.HeaderOutcome, callhttp.OutcomeUnknown)
			w.WriteHeader(http.StatusBadGateway)
		}, Unknown},
		{"target failed", Tally, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, Failed},
		{"connection cut", Tally, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Broken},
	} {
		t.Run(test.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(test.respond))
			defer server.Close()
			// The digest of "abc".
			const digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
			caller := NewHTTPCaller(testConfig(), func(string, int64) string { return digest })
			defer caller.Close()
			call := Call{Number: 7, Kind: test.kind, Entry: strings.TrimPrefix(server.URL, "http://")}
			assert.Equal(t, caller.Do(t.Context(), call), test.want)
		})
	}
	caller := NewHTTPCaller(testConfig(), nil)
	assert.Equal(t, caller.Do(t.Context(), Call{Kind: Tally, Entry: "127.0.0.1:1"}), Unreachable)
}
