package process

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/standin/target"
)

// outcome is the outcome of one request as reported to its caller.
type outcome int

const (
	// answered: a complete response that belongs to the request.
	answered outcome = iota
	// refused: the system guaranteed that the request did not run.
	refused
	// unknown: the system reported an unknown outcome, or the response was visibly
	// broken.
	unknown
	// unsent: no connection could be opened.
	unsent
	// wrong: a response that belongs to another request, or is silently truncated.
	wrong
)

// callRecord is one request and its outcome.
type callRecord struct {
	// entry is the id of the entry node.
	entry      string
	path       string
	idempotent bool
	start, end time.Time
	// endSinceBoot is the end on the clock of target.SinceBoot, which the targets use
	// too.
	endSinceBoot time.Duration
	outcome      outcome
	// told is true if the entry node sent a complete response.
	told   bool
	detail string
}

// recorder sends requests and records their outcomes, to compare them with the
// ledgers of the targets. It is safe for concurrent use.
type recorder struct {
	fleet  *fleet
	client *http.Client
	// deadline is the deadline of all routes.
	deadline time.Duration

	mu      sync.Mutex
	records []callRecord
	// unserved counts the requests that no entry node served.
	unserved atomic.Int64
}

// callerPatience is the time after the route's deadline at which callers give up.
const callerPatience = 125 * time.Millisecond

func newRecorder(f *fleet, deadline time.Duration) *recorder {
	// Callers give up soon after the route's deadline. A request that a paused
	// entry node reads after that has no caller any more and must not run.
	transport := &http.Transport{MaxIdleConnsPerHost: 50, ResponseHeaderTimeout: deadline + callerPatience}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &recorder{fleet: f, deadline: deadline, client: &http.Client{Transport: transport}}
}

// call sends one request to an entry node and records the outcome.
func (r *recorder) call(entry, method, path, body string) callRecord {
	record := callRecord{entry: entry, path: path, idempotent: method == http.MethodGet, start: time.Now()}
	record.outcome, record.told, record.detail = r.send(entry, method, path, body)
	record.end, record.endSinceBoot = time.Now(), target.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
	return record
}

func (r *recorder) send(entry, method, path, body string) (result outcome, told bool, detail string) {
	request, err := http.NewRequest(method, "http://"+r.fleet.nodes[entry].callers+path, strings.NewReader(body))
	if err != nil {
		return wrong, false, err.Error()
	}
	// Without GetBody, net/http can't resend the request by itself either.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Idempotency-Key", path)
	response, err := r.client.Do(request)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return unsent, false, err.Error()
	}
	if err != nil {
		return unknown, false, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return unknown, false, err.Error()
	}
	switch response.Header.Get("Tamarack-Outcome") {
	case "did-not-run":
		return refused, true, string(content)
	case "unknown":
		return unknown, true, string(content)
	}
	result, detail = r.classify(response, path, body, content)
	return result, true, detail
}

// classify checks that a response has the content that only the response to this
// request can have.
func (r *recorder) classify(response *http.Response, path, body string, content []byte) (outcome, string) {
	detail := fmt.Sprintf("status %d, %d bytes", response.StatusCode, len(content))
	if response.StatusCode >= http.StatusInternalServerError {
		return unknown, detail
	}
	if name, bytes, ok := strings.Cut(path, "?bytes="); ok {
		var size int64
		_, err := fmt.Sscan(bytes, &size)
		digest := sha256.Sum256(content)
		if err != nil || hex.EncodeToString(digest[:]) != target.ArchiveDigest(name, size) {
			return wrong, detail
		}
		return answered, detail
	}
	var got struct{ Path, SHA256 string }
	if err := json.Unmarshal(content, &got); err != nil {
		return wrong, detail
	}
	digest := sha256.Sum256([]byte(body))
	if got.Path != path && got.SHA256 != hex.EncodeToString(digest[:]) {
		return wrong, detail + ": " + string(content)
	}
	return answered, detail
}

func (f *fleet) ledgerFile(id string) string { return filepath.Join(f.dir, id+".ledger") }

// arrival is a request that arrived at the target of a VM.
type arrival struct {
	target.Entry
	vm string
}

// arrivals returns all requests by path that the targets ran, or shed because they had
// expired, including those of killed targets.
func (f *fleet) arrivals() map[string][]arrival {
	f.t.Helper()
	arrivals := map[string][]arrival{}
	for _, id := range f.order {
		raw, err := os.ReadFile(f.ledgerFile(id))
		if os.IsNotExist(err) {
			continue
		}
		assert.NilError(f.t, err)
		decoder := json.NewDecoder(strings.NewReader(string(raw)))
		for decoder.More() {
			var entry target.Entry
			assert.NilError(f.t, decoder.Decode(&entry))
			arrivals[entry.Path] = append(arrivals[entry.Path], arrival{entry, id})
		}
	}
	return arrivals
}

// runs returns the arrivals that ran.
func (f *fleet) runs() map[string][]arrival {
	f.t.Helper()
	runs := f.arrivals()
	for path, arrivals := range runs {
		ran := slices.DeleteFunc(arrivals, func(a arrival) bool { return a.Expired })
		if len(ran) == 0 {
			delete(runs, path)
			continue
		}
		runs[path] = ran
	}
	return runs
}

// maxLoggedCalls is the number of calls logged for each outcome other than answered.
const maxLoggedCalls = 5

// checkLedgers compares the recorded outcomes with the ledgers, logs the number of
// calls by outcome and returns it.
func (r *recorder) checkLedgers() map[outcome]int {
	t := r.fleet.t
	t.Helper()
	runs := r.fleet.runs()
	counts := map[outcome]int{}
	for _, record := range r.records {
		name, _, _ := strings.Cut(record.path, "?")
		ran := runs[name]
		counts[record.outcome]++
		if record.outcome != answered && counts[record.outcome] <= maxLoggedCalls {
			t.Logf("%s at %s after %s: %s", record.path, record.end.Format(time.TimeOnly+".000"), record.end.Sub(record.start), record.detail)
		}
		switch record.outcome {
		case wrong:
			t.Errorf("%s: wrong response: %s", record.path, record.detail)
		case refused, unsent:
			assert.Check(t, len(ran) == 0, "%s was refused, but ran %d times: %s", record.path, len(ran), record.detail)
		case answered:
			assert.Check(t, len(ran) >= 1, "%s was answered, but never ran", record.path)
		}
		assert.Check(t, record.idempotent || len(ran) <= 1, "%s ran %d times", record.path, len(ran))
		for _, run := range ran {
			r.checkNotResumed(&record, &run)
		}
	}
	r.checkDeadlines()
	t.Logf("%d requests: %d answered, %d refused, %d unknown, %d unsent, %d wrong", len(r.records),
		counts[answered], counts[refused], counts[unknown], counts[unsent], counts[wrong])
	return counts
}

// startLoad starts callers that submit returns, read tallies and fetch archives
// through the entry nodes until the returned function is called.
func (r *recorder) startLoad(callers int, entries ...string) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				r.callNext(caller, i, entries)
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// waitAnswered waits until the given number of further requests are answered. The
// timeout is long, since the speed of a fleet depends on the machine.
func (r *recorder) waitAnswered(more int) {
	r.fleet.t.Helper()
	want := r.answered() + more
	poll.WaitOn(r.fleet.t, func(poll.LogT) poll.Result {
		if got := r.answered(); got < want {
			return poll.Continue("%d of %d answered", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

func (r *recorder) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, record := range r.records {
		if record.outcome == answered {
			count++
		}
	}
	return count
}

const loadArchiveBytes = 300_000

// callNext sends request number i of a caller. If the caller can't connect to an
// entry node, or the node refuses the request as not run, it tries the next node.
func (r *recorder) callNext(caller, i int, entries []string) {
	for retry := range entries {
		entry := entries[(caller+i+retry)%len(entries)]
		id := fmt.Sprintf("%d-%d-%d", caller, i, retry)
		var record callRecord
		switch i % 8 {
		case 0:
			record = r.call(entry, http.MethodGet, fmt.Sprintf("/archive/%s?bytes=%d", id, loadArchiveBytes), "")
		case 1, 2, 3:
			record = r.call(entry, http.MethodGet, "/tallies/"+id, "")
		default:
			record = r.call(entry, http.MethodPost, "/returns/"+id, "signed "+id)
		}
		if record.outcome != unsent && record.outcome != refused {
			return
		}
	}
	r.unserved.Add(1)
}

// newLoadedFleet returns a running fleet with the given deadline on all routes, and
// a recorder for it.
func newLoadedFleet(t *testing.T, deadline time.Duration) (*fleet, *recorder) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts(deadline.String()))
	f.waitVersion()
	for _, id := range f.order {
		f.waitMembers(id, len(f.order))
	}
	return f, newRecorder(f, deadline)
}

// input is one operation of the history: a submission of a return, or the final read
// of its ledger.
type input struct {
	path string
	read bool
}

// output is the outcome of a submission, or the number of runs in the ledger.
type output struct {
	outcome outcome
	runs    int
}

// atMostOnce is the model of one return. Its state is the number of runs: an answered
// submission ran once, a refused one did not run, and one with an unknown outcome
// may have run once.
var atMostOnce = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byPath := map[string][]porcupine.Operation{}
		for _, operation := range history {
			path := operation.Input.(input).path
			byPath[path] = append(byPath[path], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byPath {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, in, out any) []any {
		runs, result := state.(int), out.(output)
		switch {
		case in.(input).read && result.runs == runs:
			return []any{runs}
		case in.(input).read, result.outcome == wrong:
			return nil
		case result.outcome == answered:
			return []any{runs + 1}
		case result.outcome == refused, result.outcome == unsent:
			return []any{runs}
		}
		return []any{runs, runs + 1}
	},
}).ToModel()

// history returns the recorded submissions of returns, each return followed by a
// final read of its ledger.
func (r *recorder) history() []porcupine.Operation {
	end := time.Now()
	runs := r.fleet.runs()
	read := map[string]bool{}
	var history []porcupine.Operation
	for i, record := range r.records {
		if record.idempotent {
			continue
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: input{path: record.path}, Output: output{outcome: record.outcome},
			Call: record.start.UnixNano(), Return: record.end.UnixNano(),
		})
		if !read[record.path] {
			read[record.path] = true
			history = append(history, porcupine.Operation{
				ClientId: len(r.records) + i, Input: input{path: record.path, read: true}, Output: output{runs: len(runs[record.path])},
				Call: end.UnixNano(), Return: end.UnixNano() + 1,
			})
		}
	}
	return history
}
