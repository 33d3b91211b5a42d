// Package usertarget is a stand-in for a target of the users' platform, for tests and
// the soak only: it has slots, checks the expected instance of a request, signs each
// response, and keeps a ledger of the requests that arrived and ran.
package usertarget

import (
	"cmp"
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

// Headers of the users' platform that targets read or write.
const (
	HeaderRequestID        = "Tamarackquay-Request-Id"
	HeaderExpectedInstance = "Tamarackquay-Expected-Instance"
	HeaderCaller           = "Tamarackquay-Caller-Service"
	HeaderDeadline         = "Tamarackquay-Deadline-Ms"
	HeaderSignature        = "Tamarackquay-Server-Signature"
	HeaderNotExecuted      = "Tamarackquay-Not-Executed"
	HeaderLoad             = "Tamarackquay-Server-Load"
	HeaderLimit            = "Server-Limit"
	HeaderLeaving          = "Server-Leaving"
)

// Mode sets the faults that a target injects; the zero value sets none. Rates are
// fractions from 0 to 1.
type Mode struct {
	// Slowdown multiplies the service time of each request; values below 1 count
	// as 1.
	Slowdown float64 `json:"slower"`
	// LossRate is the fraction of runs whose response is lost, CutRate of runs
	// whose response is cut off, ShedRate of arrivals that are shed despite free
	// slots, and FailureRate of runs that end with FailureStatus.
	LossRate float64 `json:"lose"`
	CutRate  float64 `json:"cut"`
	// SpoilRate is the fraction of runs whose response has an invalid head.
	SpoilRate   float64 `json:"spoil"`
	ShedRate    float64 `json:"shed"`
	FailureRate float64 `json:"fail"`
	// FailureStatus is the status of failed runs; 0 stands for 500.
	FailureStatus int `json:"fail_status"`
	// DropRate is the fraction of arrivals that count as runs and whose connection is closed
	// before the body is read.
	DropRate float64 `json:"drop"`
	// Limit is the number of requests per second that the target says it takes; 0 for
	// none.
	Limit float64 `json:"limit"`
}

// CrashMarker in the path of a request makes each target crash that starts to run
// it.
const CrashMarker = "crash-"

// crashDelay is the time from the start of such a request to the crash.
const crashDelay = 30 * time.Millisecond

// Entry is one arrival in the ledger.
type Entry struct {
	Request  string `json:"request"`
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Caller   string `json:"caller"`
	Path     string `json:"path"`
	// Ran is false for requests that were rejected.
	Ran bool `json:"ran"`
	// At is the time of target.SinceBoot, which all processes of the machine share.
	At time.Duration `json:"at"`
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	instance, service string
	slots             int
	meanServiceTime   time.Duration
	// crash ends the process of the target.
	crash func()

	mu      sync.Mutex
	ledger  *json.Encoder
	mode    Mode
	leaving bool
	running int
	random  *rand.Rand
}

// New returns a target whose requests take the given service time on average. Each arrival is
// written to the ledger at once. The function crash must end the process.
func New(instance, service string, slots int, serviceTime time.Duration, ledger io.Writer, crash func()) *Target {
	seed := sha256.Sum256([]byte(instance))
	return &Target{instance: instance, service: service, slots: slots, meanServiceTime: serviceTime, crash: crash, ledger: json.NewEncoder(ledger), random: rand.New(rand.NewChaCha8(seed))}
}

// SetMode replaces the mode.
func (t *Target) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// Leave makes the target say in its responses that it leaves.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// writeState sets the response headers that describe the target itself.
func (t *Target) writeState(header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	header.Set(HeaderLoad, fmt.Sprintf("%d,0,%d", t.running, t.slots))
	if t.mode.Limit > 0 {
		header.Set(HeaderLimit, strconv.FormatFloat(t.mode.Limit, 'f', -1, 64))
	}
	if t.leaving {
		header.Set(HeaderLeaving, "1")
	}
}

// Body returns the response body of a request. The bytes are derived from the
// request id alone, so that callers can check them. The query of the request gives
// the size.
func Body(request string, size int) []byte {
	block := sha256.Sum256([]byte(request))
	text := []byte(hex.EncodeToString(block[:]))
	body := make([]byte, 0, size+len(text))
	for len(body) < size {
		body = append(body, text...)
	}
	return body[:size]
}

// Signature returns the signature that an instance adds to its response, by which
// callers can check that the response is from that instance and for that request.
func Signature(instance, request string) string {
	sum := sha256.Sum256([]byte(instance + " " + request))
	return instance + "." + hex.EncodeToString(sum[:8])
}

// outcome is how the target handles one request.
type outcome struct {
	runs, lost, cut, spoilt bool
	serviceTime             time.Duration
	// failureStatus is the status of a run that fails, otherwise 0.
	failureStatus int
}

// recordArrival decides the outcome of a request and writes it to the ledger before
// the request is handled.
func (t *Target) recordArrival(r *http.Request) (outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := r.Header.Get(HeaderExpectedInstance)
	o := outcome{runs: expected == "" || expected == t.instance, serviceTime: t.meanServiceTime}
	full := t.running >= t.slots || t.random.Float64() < t.mode.ShedRate
	o.runs = o.runs && !full
	o.lost = t.random.Float64() < t.mode.LossRate
	o.cut = t.random.Float64() < t.mode.CutRate
	o.spoilt = t.random.Float64() < t.mode.SpoilRate
	if t.random.Float64() < t.mode.FailureRate {
		o.failureStatus = cmp.Or(t.mode.FailureStatus, http.StatusInternalServerError)
	}
	o.serviceTime = time.Duration(float64(t.meanServiceTime) * (0.5 + t.random.Float64()) * max(t.mode.Slowdown, 1))
	if o.runs {
		t.running++
	}
	return o, t.ledger.Encode(t.entry(r, o.runs))
}

func (t *Target) entry(r *http.Request, ran bool) Entry {
	return Entry{
		Request: r.Header.Get(HeaderRequestID), Instance: t.instance, Service: t.service,
		Caller: r.Header.Get(HeaderCaller), Path: r.URL.Path, Ran: ran, At: target.SinceBoot(),
	}
}

// drop records a request whose connection is to be closed, and reports whether it is.
func (t *Target) drop(r *http.Request) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode.DropRate == 0 || t.random.Float64() >= t.mode.DropRate {
		return false, nil
	}
	return true, t.ledger.Encode(t.entry(r, true))
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dropped, err := t.drop(r)
	if err != nil {
		panic(err)
	}
	if dropped {
		panic(http.ErrAbortHandler)
	}
	// A read error is ignored: it shows on the connection of the request.
	_, _ = io.Copy(io.Discard, r.Body)
	o, err := t.recordArrival(r)
	if err != nil {
		panic(err)
	}
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	t.writeState(w.Header())
	if !o.runs {
		t.reject(w, r)
		return
	}
	defer t.release()
	if strings.Contains(r.URL.Path, CrashMarker) {
		time.Sleep(crashDelay)
		t.crash()
	}
	select {
	case <-time.After(o.serviceTime):
	case <-r.Context().Done():
		return
	}
	if o.lost {
		panic(http.ErrAbortHandler)
	}
	t.respond(w, r, id, o)
}

func (t *Target) reject(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderNotExecuted, "1")
	if expected := r.Header.Get(HeaderExpectedInstance); expected != "" && expected != t.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, id string, o outcome) {
	w.Header().Set(HeaderSignature, Signature(t.instance, id))
	if o.failureStatus != 0 {
		w.WriteHeader(o.failureStatus)
		return
	}
	// Callers always give a size; without one the body is empty.
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	body := Body(id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if o.spoilt {
		respondSpoilt(w, id, body)
		return
	}
	if o.cut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	// An error means that the caller has disconnected and needs no response.
	_, _ = w.Write(body)
}

// respondSpoilt writes a response whose length can't be seen, so that its body gets the end of the connection.
func respondSpoilt(w http.ResponseWriter, id string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	// An error means that the caller has disconnected.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length : %d\r\n\r\n%sx",
		HeaderRequestID, id, HeaderSignature, w.Header().Get(HeaderSignature), len(body), body)
}
