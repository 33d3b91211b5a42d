// Package usertarget is a stand-in for a target of the users' platform, for tests
// and the soak only: slots, an instance that may be expected, a proof in each
// answer, and a ledger of what arrived and what ran.
package usertarget

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackquay/standin/target"
)

// Headers of the users' platform that a target reads or writes.
const (
	HeaderRequestID        = "Tamarackquay-Request-Id"
	HeaderExpectedInstance = "Tamarackquay-Expected-Instance"
	HeaderCaller           = "Tamarackquay-Caller-Service"
	HeaderDeadline         = "Tamarackquay-Deadline-Ms"
	HeaderSignature        = "Tamarackquay-Server-Signature"
	HeaderNotExecuted      = "Tamarackquay-Not-Executed"
	HeaderLoad             = "Tamarackquay-Server-Load"
)

// Mode says how a target behaves; the zero value behaves well. Parts are 0 to 1.
type Mode struct {
	// Slower multiplies the work of each request; 0 means 1.
	Slowdown float64 `json:"slower"`
	// Lose is the part of runs whose answer is lost, Cut whose answer breaks off,
	// Shed the part of arrivals that is turned away though there is room, and Fail
	// the part of runs that end with status 500.
	LossRate    float64 `json:"lose"`
	CutRate     float64 `json:"cut"`
	ShedRate    float64 `json:"shed"`
	FailureRate float64 `json:"fail"`
}

// CrashMark stands in the path of requests that crash each target that begins to run
// them.
const CrashMarker = "crash-"

// crashAfter is how long a target works on such a request before it crashes.
const crashAfter = 30 * time.Millisecond

// Entry is one arrival in the ledger.
type Entry struct {
	Request  string `json:"request"`
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Caller   string `json:"caller"`
	Path     string `json:"path"`
	// Ran is false for arrivals that were turned away.
	Ran bool `json:"ran"`
	// At is the moment on the clock that all processes of the machine share.
	At time.Duration `json:"at"`
}

// Target is the stand-in. It is safe for concurrent use.
type Target struct {
	instance, service string
	slots             int
	work              time.Duration
	// crash ends the target's process.
	crash func()

	mu      sync.Mutex
	ledger  *json.Encoder
	mode    Mode
	running int
	random  *rand.Rand
}

// New returns a target whose requests take the work on average; the ledger gets
// each arrival as it comes. Crash ends the target's process.
func New(instance, service string, slots int, work time.Duration, ledger io.Writer, crash func()) *Target {
	seed := sha256.Sum256([]byte(instance))
	return &Target{instance: instance, service: service, slots: slots, work: work, crash: crash, ledger: json.NewEncoder(ledger), random: rand.New(rand.NewChaCha8(seed))}
}

// SetMode changes how the target behaves.
func (t *Target) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// Body is the answer's body for a request: its size stands in the path's query,
// and its bytes follow from the id alone, so that callers know them.
func Body(request string, size int) []byte {
	block := sha256.Sum256([]byte(request))
	text := []byte(hex.EncodeToString(block[:]))
	body := make([]byte, 0, size+len(text))
	for len(body) < size {
		body = append(body, text...)
	}
	return body[:size]
}

// Proof is what a target adds to its answers, so that callers can tell them from
// others.
func Signature(instance, request string) string {
	sum := sha256.Sum256([]byte(instance + " " + request))
	return instance + "." + hex.EncodeToString(sum[:8])
}

// fate is what becomes of one arrival.
type fate struct {
	runs, lost, cut, failed bool
	work                    time.Duration
}

// arrive writes an arrival into the ledger before anything is done for it.
func (t *Target) arrive(r *http.Request) (fate, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := r.Header.Get(HeaderExpectedInstance)
	f := fate{runs: expected == "" || expected == t.instance, work: t.work}
	full := t.running >= t.slots || t.random.Float64() < t.mode.ShedRate
	f.runs = f.runs && !full
	f.lost = t.random.Float64() < t.mode.LossRate
	f.cut = t.random.Float64() < t.mode.CutRate
	f.failed = t.random.Float64() < t.mode.FailureRate
	f.work = time.Duration(float64(t.work) * (0.5 + t.random.Float64()) * max(t.mode.Slowdown, 1))
	if f.runs {
		t.running++
	}
	return f, t.ledger.Encode(Entry{
		Request: r.Header.Get(HeaderRequestID), Instance: t.instance, Service: t.service,
		Caller: r.Header.Get(HeaderCaller), Path: r.URL.Path, Ran: f.runs, At: target.SinceBoot(),
	})
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", t.running, t.slots)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A body that breaks shows in the request's own connection.
	_, _ = io.Copy(io.Discard, r.Body)
	f, err := t.arrive(r)
	if err != nil {
		panic(err)
	}
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderLoad, t.load())
	if !f.runs {
		t.turnAway(w, r)
		return
	}
	defer t.leave()
	if strings.Contains(r.URL.Path, CrashMarker) {
		time.Sleep(crashAfter)
		t.crash()
	}
	select {
	case <-time.After(f.work):
	case <-r.Context().Done():
		return
	}
	if f.lost {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, id, f)
}

func (t *Target) turnAway(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderNotExecuted, "1")
	if expected := r.Header.Get(HeaderExpectedInstance); expected != "" && expected != t.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string, f fate) {
	w.Header().Set(HeaderSignature, Signature(t.instance, id))
	if f.failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// Callers always give a size; none is an empty body.
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	body := Body(id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.cut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	// A caller that has gone needs no answer.
	_, _ = w.Write(body)
}
