package process

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/load"
	"tamarackquay/standin/target"
)

// recordingCaller records the outcome of each submitted return.
type recordingCaller struct {
	load.Caller
	mu       sync.Mutex
	outcomes map[int]load.Outcome
}

// Do implements load.Caller.
func (c *recordingCaller) Do(ctx context.Context, call load.Call) load.Outcome {
	outcome := c.Caller.Do(ctx, call)
	if call.Kind == load.Return {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes[call.Number] = outcome
	}
	return outcome
}

// Guards against false outcomes while a node fails in one of the ways that users have
// seen. Callers read tallies, submit returns and fetch archives. The outcomes of the
// returns are compared with the ledgers of the targets: an answered return ran once,
// one refused as not run did not run, and none ran twice. No caller gets a response
// to another request, and a planned stop cuts off no response.
func TestOutcomesAreCorrectDuringNodeFailure(t *testing.T) {
	for _, test := range []struct {
		desc    string
		signals []string
		planned bool
	}{
		{"node killed", []string{"KILL@700ms"}, false},
		{"node paused and resumed", []string{"STOP@500ms", "CONT@1500ms"}, false},
		{"planned stop of a node", []string{"TERM@700ms"}, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, sixVMs()...)
			f.publish(testContracts("5s"))
			f.waitVersion()
			f.waitMembers("a-archive", 6)
			outcomes, returns := f.load(test.signals)
			assert.Equal(t, outcomes[string(load.Wrong)], 0, "%v", outcomes)
			assert.Check(t, outcomes[string(load.Answered)] > 0, "%v", outcomes)
			if test.planned {
				checkNothingCut(t, outcomes)
			}
			f.checkReturns(returns)
		})
	}
}

// checkNothingCut accepts only answered and refused calls. A return may be refused as
// not run while its entry node still lists a node that has just stopped; the caller
// can submit it again elsewhere.
func checkNothingCut(t *testing.T, outcomes map[string]int) {
	t.Helper()
	for _, cut := range []load.Outcome{load.Broken, load.Unknown, load.Failed, load.Unreachable, load.NotSent} {
		assert.Check(t, outcomes[string(cut)] == 0, "a planned stop left %v", outcomes)
	}
}

// load sends a mixed load through an entry node that keeps running, and sends the
// signals to the node of one returns target. It returns the number of calls by
// outcome, and the outcome of each submitted return by call number.
func (f *fleet) load(signals []string) (map[string]int, map[int]load.Outcome) {
	f.t.Helper()
	config := load.Config{
		Entries: []string{f.nodes["a-archive"].callers}, Token: testToken, Rate: 100, Duration: 2 * time.Second,
		InFlightLimit: 200, Mix: load.Mix{load.Tally: 6, load.Return: 3, load.Archive: 1}, ArchiveBytes: 256 << 10,
		Timeout: 10 * time.Second, Seed: 1,
	}
	for _, text := range signals {
		signal, err := load.ParseSignal(fmt.Sprintf("%d:%s", f.nodes["a-returns"].process.cmd.Process.Pid, text))
		assert.NilError(f.t, err)
		config.Signals = append(config.Signals, signal)
	}
	caller := &recordingCaller{Caller: load.NewHTTPCaller(config, target.ArchiveDigest), outcomes: map[int]load.Outcome{}}
	run, err := load.Run(f.t.Context(), config, caller)
	assert.NilError(f.t, err)
	outcomes := map[string]int{}
	for _, kind := range run.Kinds {
		for outcome, n := range kind.Outcomes {
			outcomes[outcome] += n
		}
	}
	f.t.Logf("outcomes %v", outcomes)
	return outcomes, caller.outcomes
}

// checkReturns compares the outcomes of the returns with the ledgers of the targets.
func (f *fleet) checkReturns(returns map[int]load.Outcome) {
	f.t.Helper()
	ran := map[string]int{}
	for _, id := range []string{"a-returns", "b-returns"} {
		for _, entry := range f.ledger(id) {
			ran[entry.Path]++
		}
	}
	assert.Check(f.t, len(returns) > 10, "only %d returns", len(returns))
	for number, outcome := range returns {
		runs := ran[fmt.Sprintf("/returns/call-%d", number)]
		switch {
		case outcome == load.Answered:
			assert.Check(f.t, runs == 1, "return %d was answered, but ran %d times", number, runs)
		case strings.HasPrefix(string(outcome), string(load.Refused(""))), outcome == load.Unreachable:
			assert.Check(f.t, runs == 0, "return %d has outcome %s, but ran %d times", number, outcome, runs)
		default:
			assert.Check(f.t, runs <= 1, "return %d has outcome %s, but ran %d times", number, outcome, runs)
		}
	}
}
