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

// traced runs tamarackctl trace on the fleet's logs for the last request.
func (f *fleet) traced(t *testing.T) []trace.Line {
	t.Helper()
	c := trace.New()
	var out strings.Builder
	c.SetOut(&out)
	c.SetIn(strings.NewReader(f.logs.String()))
	c.SetArgs([]string{lastRequest(), "--output", "json"})
	assert.NilError(t, c.Execute())
	var lines []trace.Line
	assert.NilError(t, json.Unmarshal([]byte(out.String()), &lines))
	return lines
}

// messages are the lines as "node message outcome reason".
func messages(lines []trace.Line) []string {
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

// A crew is refused while the target says that it has free slots. The path of
// docs/OPERATIONS.md leads from the id to the target that shed and its load.
func TestPathOfARefusalThoughTargetsWereFree(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].Avoid(time.Now())
	f.proxies[0].config.RepeatRatio, f.proxies[0].config.RepeatFew = 0, 0
	f.targets[1].serve = sheds("1,0,4")
	f.ask(0, "GET", "/idempotent/x", "")
	lines := f.traced(t)
	assert.DeepEqual(t, messages(lines), []string{
		"n1 own target refused shed-with-room", "n0 attempt failed shed-with-room", "n0 request refused shed-with-room",
	})
	assert.Equal(t, lines[0].Fields[logfield.Attempt], lines[1].Fields[logfield.Attempt])
	assert.Assert(t, strings.Contains(lines[0].Fields[logfield.Error].(string), "1,0,4"))
	assert.Equal(t, lines[2].Fields[logfield.RetryAfter], 50.0)
	for _, name := range []string{logfield.Version, logfield.ViewAge, logfield.TimeLeft, logfield.Arrivals} {
		assert.Assert(t, lines[2].Fields[name] != nil, name)
	}
}

// A member doesn't know whether its return was filed. The path leads to the
// target that broke off, and to the node that saw it.
func TestPathOfAFilingOfUnknownOutcome(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].Avoid(time.Now())
	f.targets[1].serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f.ask(0, "POST", "/once/x", "filing")
	lines := f.traced(t)
	assert.DeepEqual(t, messages(lines), []string{"n1 own target unknown", "n0 attempt failed", "n0 request unknown"})
	assert.Equal(t, lines[2].Fields[logfield.Target], "t1")
	assert.Assert(t, strings.Contains(lines[0].Fields[logfield.Error].(string), "sent without an answer"))
}

// A download breaks midway at its target. The path shows the break and that the
// caller got the whole of another target's answer.
func TestPathOfADownloadThatBroke(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t1"].Failed(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Proof, "proof")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	f.ask(0, "GET", "/idempotent/x", "")
	lines := f.traced(t)
	assert.DeepEqual(t, messages(lines), []string{"n0 attempt failed", "n0 request served"})
	assert.Assert(t, strings.Contains(lines[0].Fields[logfield.Error].(string), "unexpected EOF"))
}

// Requests fail by the thousand. The lines stay within the budget, and what was
// left out is told.
func TestLinesStayWithinTheirBudget(t *testing.T) {
	f := newFleet(t, 1)
	f.targets[0].serve = sheds("1,0,4")
	const asked = 1000
	begin := time.Now()
	for range asked {
		f.ask(0, "GET", "/idempotent/x", "")
	}
	spent := time.Since(begin).Seconds() + 1
	f.proxies[0].TellLeftOut()
	failures := strings.Count(f.logs.String(), `"message":"request"`)
	assert.Assert(t, float64(failures) <= spent*float64(linesPerSecond[lineFailure])+1, "%d in %.1f s", failures, spent)
	assert.Assert(t, failures == asked || strings.Contains(f.logs.String(), "lines left out"))
}

// A lookup fails at one target and is served by another. The trace of its id tells
// of the first attempt, with the target and the status that it answered.
func TestTraceTellsOfAnAttemptThatTheTargetFailed(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].Failed(time.Now())
	f.targets[1].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Proof, "proof")
		w.WriteHeader(http.StatusInternalServerError)
	}
	f.ask(0, "GET", "/idempotent/x", "")
	failed := 0
	for _, line := range f.traced(t) {
		if line.Message == "attempt" && line.Fields[logfield.Target] == "t1" {
			failed++
			assert.Assert(t, strings.Contains(line.Fields[logfield.Error].(string), "status 500"))
		}
	}
	assert.Equal(t, failed, 1)
}
