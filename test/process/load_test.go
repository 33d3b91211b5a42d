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

// notingCaller remembers what each caller was told.
type notingCaller struct {
	load.Caller
	mu   sync.Mutex
	told map[int]load.Outcome
}

// Do implements load.Caller.
func (c *notingCaller) Do(ctx context.Context, call load.Call) load.Outcome {
	outcome := c.Caller.Do(ctx, call)
	if call.Kind == load.Return {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.told[call.Number] = outcome
	}
	return outcome
}

// Callers send readings, filings and downloads while a node goes away in one of
// the ways that users have seen. What each caller was told of its filing is held
// against the ledgers of the targets: a filing that was answered ran once, one
// that was refused as not run did not run, and none ran twice. No caller gets an
// answer that is not its own, and a planned stop cuts nothing.
func TestWhatCallersAreToldIsTrue(t *testing.T) {
	for _, test := range []struct {
		desc    string
		signals []string
		planned bool
	}{
		{"node killed", []string{"KILL@700ms"}, false},
		{"node frozen and woken", []string{"STOP@500ms", "CONT@1500ms"}, false},
		{"node stopped as planned", []string{"TERM@700ms"}, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, sixVMs()...)
			f.publish(testContracts("5s"))
			f.waitVersion()
			f.waitMembers("a-archive", 6)
			outcomes, told := f.load(test.signals)
			assert.Equal(t, outcomes[string(load.Wrong)], 0, "%v", outcomes)
			assert.Check(t, outcomes[string(load.Answered)] > 0, "%v", outcomes)
			if test.planned {
				checkNothingCut(t, outcomes)
			}
			f.checkFilings(told)
		})
	}
}

// checkNothingCut allows answers and refusals alone. A filing may be refused as
// not run while its entry still believes in a node that has just left; the
// caller can file it again elsewhere.
func checkNothingCut(t *testing.T, outcomes map[string]int) {
	t.Helper()
	for _, cut := range []load.Outcome{load.Broken, load.Unknown, load.Failed, load.Unreachable, load.NotSent} {
		assert.Check(t, outcomes[string(cut)] == 0, "a planned stop left %v", outcomes)
	}
}

// load sends a mixed load through an entry that stays, with signals to the node
// of one returns target, and gives the outcomes of all calls and what was told of
// each filing.
func (f *fleet) load(signals []string) (map[string]int, map[int]load.Outcome) {
	f.t.Helper()
	config := load.Config{
		Entries: []string{f.nodes["a-archive"].callers}, Token: testToken, Rate: 100, Duration: 2 * time.Second,
		InFlight: 200, Mix: load.Mix{load.Tally: 6, load.Return: 3, load.Archive: 1}, ArchiveBytes: 256 << 10,
		Timeout: 10 * time.Second, Seed: 1,
	}
	for _, text := range signals {
		signal, err := load.ParseSignal(fmt.Sprintf("%d:%s", f.nodes["a-returns"].process.cmd.Process.Pid, text))
		assert.NilError(f.t, err)
		config.Signals = append(config.Signals, signal)
	}
	caller := &notingCaller{Caller: load.NewHTTPCaller(config, target.ArchiveDigest), told: map[int]load.Outcome{}}
	run, err := load.Run(f.t.Context(), config, caller)
	assert.NilError(f.t, err)
	outcomes := map[string]int{}
	for _, kind := range run.Kinds {
		for outcome, n := range kind.Outcomes {
			outcomes[outcome] += n
		}
	}
	f.t.Logf("outcomes %v", outcomes)
	return outcomes, caller.told
}

// checkFilings holds what callers were told against what the targets ran.
func (f *fleet) checkFilings(told map[int]load.Outcome) {
	f.t.Helper()
	ran := map[string]int{}
	for _, id := range []string{"a-returns", "b-returns"} {
		for _, entry := range f.ledger(id) {
			ran[entry.Path]++
		}
	}
	assert.Check(f.t, len(told) > 10, "only %d filings", len(told))
	for number, outcome := range told {
		times := ran[fmt.Sprintf("/returns/call-%d", number)]
		switch {
		case outcome == load.Answered:
			assert.Check(f.t, times == 1, "filing %d was answered and ran %d times", number, times)
		case strings.HasPrefix(string(outcome), string(load.Refused(""))), outcome == load.Unreachable:
			assert.Check(f.t, times == 0, "filing %d was told %s and ran %d times", number, outcome, times)
		default:
			assert.Check(f.t, times <= 1, "filing %d was told %s and ran %d times", number, outcome, times)
		}
	}
}
