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

// outcome is what a caller was told of one request.
type outcome int

const (
	// answered: a whole answer that is the request's own.
	answered outcome = iota
	// refused: the system promised that nothing ran.
	refused
	// unknown: the system said so, or the answer was visibly broken.
	unknown
	// unsent: no connection could be made.
	unsent
	// wrong: an answer that is not the request's own, or is silently short.
	wrong
)

// filing is one request with what its caller saw.
type filing struct {
	path       string
	idempotent bool
	start, end time.Time
	// startSinceBoot is the start on the clock that the targets share.
	startSinceBoot time.Duration
	outcome        outcome
	detail         string
}

// book collects what callers were told, to be compared with what the targets
// ran. It is safe for concurrent use.
type book struct {
	fleet  *fleet
	client *http.Client
	// deadline is that of the routes.
	deadline time.Duration

	mu      sync.Mutex
	filings []filing
	// unserved counts callers' requests that no entry node served.
	unserved atomic.Int64
}

func newBook(f *fleet, deadline time.Duration) *book {
	// Callers give up soon after the route's deadline. What an entry node that
	// was frozen reads after that belongs to nobody, and must not run.
	transport := &http.Transport{MaxIdleConnsPerHost: 50, ResponseHeaderTimeout: deadline + lateBy/2}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &book{fleet: f, deadline: deadline, client: &http.Client{Transport: transport}}
}

// file sends one request to an entry node and keeps what came of it.
func (b *book) file(entry, method, path, body string) filing {
	made := filing{path: path, idempotent: method == http.MethodGet, start: time.Now(), startSinceBoot: target.SinceBoot()}
	made.outcome, made.detail = b.send(entry, method, path, body)
	made.end = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.filings = append(b.filings, made)
	return made
}

func (b *book) send(entry, method, path, body string) (outcome, string) {
	request, err := http.NewRequest(method, "http://"+b.fleet.nodes[entry].callers+path, strings.NewReader(body))
	if err != nil {
		return wrong, err.Error()
	}
	// The caller's own net/http must not send anything twice either.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Idempotency-Key", path)
	response, err := b.client.Do(request)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return unsent, err.Error()
	}
	if err != nil {
		return unknown, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return unknown, err.Error()
	}
	switch response.Header.Get("Tamarack-Outcome") {
	case "did-not-run":
		return refused, string(content)
	case "unknown":
		return unknown, string(content)
	}
	return b.judge(response, path, body, content)
}

// judge compares an answer with what only this request's answer can hold.
func (b *book) judge(response *http.Response, path, body string, content []byte) (outcome, string) {
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

// runs returns what all targets ever ran, killed ones too, by path.
func (f *fleet) runs() map[string][]target.Entry {
	f.t.Helper()
	runs := map[string][]target.Entry{}
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
			runs[entry.Path] = append(runs[entry.Path], entry)
		}
	}
	return runs
}

// lateBy allows for the time between the last look at the deadline and the
// ledger's entry on a loaded machine.
const lateBy = 250 * time.Millisecond

// shownOutcomes is how many of each outcome a failed test shows.
const shownOutcomes = 5

// check compares the book with the ledgers, logs the counts and returns them.
func (b *book) check() map[outcome]int {
	t := b.fleet.t
	t.Helper()
	runs := b.fleet.runs()
	counts := map[outcome]int{}
	for _, made := range b.filings {
		name, _, _ := strings.Cut(made.path, "?")
		ran := runs[name]
		counts[made.outcome]++
		if made.outcome != answered && counts[made.outcome] <= shownOutcomes {
			t.Logf("%s at %s after %s: %s", made.path, made.end.Format(time.TimeOnly+".000"), made.end.Sub(made.start), made.detail)
		}
		switch made.outcome {
		case wrong:
			t.Errorf("%s: wrong answer: %s", made.path, made.detail)
		case refused, unsent:
			assert.Check(t, len(ran) == 0, "%s was refused and ran %d times: %s", made.path, len(ran), made.detail)
		case answered:
			assert.Check(t, len(ran) >= 1, "%s was answered and never ran", made.path)
		}
		assert.Check(t, made.idempotent || len(ran) <= 1, "%s ran %d times", made.path, len(ran))
		for _, run := range ran {
			late := run.StartSinceBoot - made.startSinceBoot - b.deadline
			assert.Check(t, late < lateBy, "%s was started %s after its deadline", made.path, late)
		}
	}
	t.Logf("%d requests: %d answered, %d refused, %d unknown, %d unsent, %d wrong", len(b.filings),
		counts[answered], counts[refused], counts[unknown], counts[unsent], counts[wrong])
	return counts
}

// load lets callers at the entries file returns, read tallies and fetch
// archives until the returned function is called.
func (b *book) load(callers int, entries ...string) (stop func()) {
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
				b.next(caller, i, entries)
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// waitAnswered waits until so many more requests are answered, and fails the test if
// that takes implausibly long: how fast a fleet serves depends on the machine.
func (b *book) waitAnswered(more int) {
	b.fleet.t.Helper()
	wanted := b.answered() + more
	poll.WaitOn(b.fleet.t, func(poll.LogT) poll.Result {
		if got := b.answered(); got < wanted {
			return poll.Continue("%d of %d answered", got, wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

func (b *book) answered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, made := range b.filings {
		if made.outcome == answered {
			count++
		}
	}
	return count
}

const loadArchiveBytes = 300_000

// next makes a caller's request number i. A caller that can't connect to an
// entry node, or is told by it that nothing ran, asks the next one.
func (b *book) next(caller, i int, entries []string) {
	for retry := range entries {
		entry := entries[(caller+i+retry)%len(entries)]
		id := fmt.Sprintf("%d-%d-%d", caller, i, retry)
		var made filing
		switch i % 8 {
		case 0:
			made = b.file(entry, http.MethodGet, fmt.Sprintf("/archive/%s?bytes=%d", id, loadArchiveBytes), "")
		case 1, 2, 3:
			made = b.file(entry, http.MethodGet, "/tallies/"+id, "")
		default:
			made = b.file(entry, http.MethodPost, "/returns/"+id, "signed "+id)
		}
		if made.outcome != unsent && made.outcome != refused {
			return
		}
	}
	b.unserved.Add(1)
}

// newLoadedFleet is a fleet whose requests have the deadline.
func newLoadedFleet(t *testing.T, deadline time.Duration) (*fleet, *book) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts(deadline.String()))
	f.waitVersion()
	for _, id := range f.order {
		f.waitMembers(id, len(f.order))
	}
	return f, newBook(f, deadline)
}

// input is one operation of the history: a submission of a return, or the
// reading of its ledger at the end.
type input struct {
	path string
	read bool
}

// output is what a submission's caller was told, or the runs in the ledger.
type output struct {
	told outcome
	runs int
}

// atMostOnce is the model of one return: the state is how often it has run. A
// submission that was answered ran once, one that was refused did not, and one
// whose outcome is unknown may have run once.
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
		runs, told := state.(int), out.(output)
		switch {
		case in.(input).read && told.runs == runs:
			return []any{runs}
		case in.(input).read, told.told == wrong:
			return nil
		case told.told == answered:
			return []any{runs + 1}
		case told.told == refused, told.told == unsent:
			return []any{runs}
		}
		return []any{runs, runs + 1}
	},
}).ToModel()

// history is the book's submissions of returns and a reading of each at the end.
func (b *book) history() []porcupine.Operation {
	end := time.Now()
	runs := b.fleet.runs()
	seen := map[string]bool{}
	var history []porcupine.Operation
	for i, made := range b.filings {
		if made.idempotent {
			continue
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: input{path: made.path}, Output: output{told: made.outcome},
			Call: made.start.UnixNano(), Return: made.end.UnixNano(),
		})
		if !seen[made.path] {
			seen[made.path] = true
			history = append(history, porcupine.Operation{
				ClientId: len(b.filings) + i, Input: input{path: made.path, read: true}, Output: output{runs: len(runs[made.path])},
				Call: end.UnixNano(), Return: end.UnixNano() + 1,
			})
		}
	}
	return history
}
