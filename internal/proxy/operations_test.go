package proxy

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/command/trace"
	"tamarackquay/internal/logfield"
)

// trace runs tamarackctl trace on the fleet's logs for the last request.
func (f *fleet) trace(t *testing.T) []trace.Line {
	t.Helper()
	c := trace.New()
	var out strings.Builder
	c.SetOut(&out)
	c.SetIn(strings.NewReader(f.logs.String()))
	c.SetArgs([]string{lastRequestID(), "--output", "json"})
	assert.NilError(t, c.Execute())
	var lines []trace.Line
	assert.NilError(t, json.Unmarshal([]byte(out.String()), &lines))
	return lines
}

// linesWith returns the fields of the log lines with the given message.
func (f *fleet) linesWith(t *testing.T, message string) []map[string]any {
	t.Helper()
	var found []map[string]any
	for line := range strings.Lines(f.logs.String()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// summaries returns the lines as "node message outcome reason".
func summaries(lines []trace.Line) []string {
	var got []string
	for _, line := range lines {
		text := line.Node + " " + line.Message
		for _, name := range []string{logfield.Outcome, logfield.Reason} {
			if value, ok := line.Fields[name].(string); ok {
				text += " " + value
			}
		}
		got = append(got, text)
	}
	return got
}

// A request is refused although the target reports free slots. The steps of
// docs/OPERATIONS.md lead from the request id to the target that shed it, and its load.
func TestTraceOfRefusalDespiteFreeTargets(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	f.proxies[0].config.RetryRatio, f.proxies[0].config.RetrySlack = 0, 0
	f.targets[1].serve = shedHandler("1,0,4")
	f.send(0, "GET", "/idempotent/x", "")
	lines := f.trace(t)
	assert.DeepEqual(t, summaries(lines), []string{
		"n1 own target refused shed-with-room", "n0 attempt failed shed-with-room", "n0 request refused shed-with-room",
	})
	assert.Equal(t, lines[0].Fields[logfield.Attempt], lines[1].Fields[logfield.Attempt])
	assert.Assert(t, strings.Contains(lines[0].Fields[logfield.Error].(string), "1,0,4"))
	assert.Equal(t, lines[2].Fields[logfield.RetryAfter], 50.0)
	for _, name := range []string{logfield.Version, logfield.ViewAge, logfield.TimeLeft, logfield.Arrivals} {
		assert.Assert(t, lines[2].Fields[name] != nil, name)
	}
}

// A caller doesn't know whether its non-idempotent request was executed. The trace shows
// the target that closed the connection, and the node that detected it.
func TestTraceOfUnknownOutcome(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	f.targets[1].serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f.send(0, "POST", "/once/x", "filing")
	lines := f.trace(t)
	assert.DeepEqual(t, summaries(lines), []string{"n1 own target unknown", "n0 attempt failed", "n0 request unknown"})
	assert.Equal(t, lines[2].Fields[logfield.Target], "t1")
	assert.Assert(t, strings.Contains(lines[0].Fields[logfield.Error].(string), "sent without an answer"))
}

// A response breaks off at its target. The trace shows the failed attempt, and that the
// caller got the complete response of another target.
func TestTraceOfInterruptedResponse(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t1"].RecordFailure(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	f.send(0, "GET", "/idempotent/x", "")
	lines := f.trace(t)
	assert.DeepEqual(t, summaries(lines), []string{"n0 attempt failed", "n0 request served"})
	assert.Assert(t, strings.Contains(lines[0].Fields[logfield.Error].(string), "unexpected EOF"))
}

// Guards against excessive logging when 1,000 requests fail: the lines stay within their
// rate limit, and the number of dropped lines is logged.
func TestLogLinesAreRateLimited(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].serve = shedHandler("1,0,4")
	const requests = 1000
	begin := time.Now()
	for range requests {
		f.send(0, "GET", "/idempotent/x", "")
	}
	spent := time.Since(begin).Seconds() + 1
	f.proxies[0].LogDroppedLines()
	failures := strings.Count(f.logs.String(), `"message":"request"`)
	assert.Assert(t, float64(failures) <= spent*float64(linesPerSecond[lineFailure])+1, "%d in %.1f s", failures, spent)
	assert.Assert(t, failures == requests || strings.Contains(f.logs.String(), "lines left out"))
}

// A request fails at one target and is served by another. The trace of its id contains
// the first attempt, with the target and its response status.
func TestTraceShowsFailedAttempt(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	f.targets[1].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		w.WriteHeader(http.StatusInternalServerError)
	}
	f.send(0, "GET", "/idempotent/x", "")
	failed := 0
	for _, line := range f.trace(t) {
		if line.Message == "attempt" && line.Fields[logfield.Target] == "t1" {
			failed++
			assert.Assert(t, strings.Contains(line.Fields[logfield.Error].(string), "status 500"))
		}
	}
	assert.Equal(t, failed, 1)
}

// Targets shed, and the node's part of the retry budget is used up. One line for the service
// must tell what the node counted and how many retries it refused since the last line.
func TestUsedUpRetryBudgetIsLogged(t *testing.T) {
	const requests = 20
	f := newFleet(t, 2)
	f.proxies[0].config.RetrySlack = 4
	for _, target := range f.targets {
		target.serve = shedHandler("1,0,4")
	}
	for range requests {
		f.send(0, "GET", "/idempotent/x", "")
	}
	f.proxies[0].MeasureRetries()
	f.proxies[0].MeasureRetries()
	lines := f.linesWith(t, "retry budget used up")
	assert.Equal(t, len(lines), 1)
	fields := lines[0]
	assert.Equal(t, fields[logfield.Service], "s")
	assert.Equal(t, fields[logfield.Requests], float64(requests))
	assert.Equal(t, fields[logfield.VMs], 2.0)
	assert.Equal(t, fields[logfield.Denied].(float64)+fields[logfield.Retries].(float64), float64(requests))
	assert.Assert(t, fields[logfield.Retries].(float64) <= fields[logfield.Allowed].(float64))
}
