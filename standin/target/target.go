// Package target is a stand-in for a target, for tests and the demo only: an upstream
// with slots, cold start, load shedding, and a ledger of the requests that it ran.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Headers of the target's published protocol.
const (
	// HeaderShed with the value ShedNotRun guarantees that the shed request did
	// not run.
	HeaderShed = "Target-Shed"
	ShedNotRun = "not-run"
	// HeaderLoad reports "running/slots" on each response.
	HeaderLoad = "Target-Load"
	// HeaderRequestID is the request id that the ledger records.
	HeaderRequestID = "Tamarack-Request-Id"
	// HeaderStartBy is the time of SinceBoot, in milliseconds, after which the
	// request is shed.
	HeaderStartBy = "Tamarack-Start-By-Ms"
	// HeaderBudget is the time left until the request's deadline when its node sent
	// it, in milliseconds.
	HeaderBudget = "Tamarack-Budget-Ms"
)

// Mode sets the faults that the target injects; the zero value sets none.
type Mode struct {
	// ServiceMS is how long each request runs.
	ServiceMS int `json:"service_ms"`
	// ColdMS is the time after the start during which each request takes ten times
	// as long.
	ColdMS int `json:"cold_ms"`
	// FailStatus, if set, is the status of each response, sent after running.
	FailStatus int `json:"fail_status"`
	// AbortBeforeResponse runs the request and then closes the connection.
	AbortBeforeResponse bool `json:"die_before_answer"`
	// CutBodyAfter closes the connection after this many bytes of an archive.
	CutBodyAfter int64 `json:"cut_body_after"`
	// StallBodyAfter stops sending after this many bytes of an archive and leaves
	// the connection open.
	StallBodyAfter int64 `json:"stall_body_after"`
	// Draining sheds all new work.
	Draining bool `json:"draining"`
	// ForceHealthy makes the health endpoint always respond "ok". ForceUnhealthy
	// makes it report a failure, unless ForceHealthy is set.
	ForceHealthy   bool `json:"health_lies"`
	ForceUnhealthy bool `json:"health_sick"`
	// HideLoad reports zero load regardless of the running requests.
	HideLoad bool `json:"load_lies"`
}

// Entry is one run in the ledger, or, in the ledger file only, one request that arrived
// too late to be run.
type Entry struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Start          time.Time `json:"start"`
	// StartSinceBoot is the start on the clock of SinceBoot.
	StartSinceBoot time.Duration `json:"start_since_boot"`
	// StartBy and Budget are the values of HeaderStartBy and HeaderBudget, or zero if the
	// request had none.
	StartBy time.Duration `json:"start_by"`
	Budget  time.Duration `json:"budget"`
	// Expired is true if the request was shed because it arrived after StartBy. Then
	// nothing ran, and the start is the time of its arrival.
	Expired bool      `json:"expired,omitempty"`
	End     time.Time `json:"end"`
	// Complete is false for runs whose response was cut off.
	Complete bool `json:"whole"`
}

// coldFactor multiplies the service time of a cold target.
const coldFactor = 10

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	slots   int
	started time.Time

	// ledgerWriter, if set, receives each entry when its run starts, so that the
	// ledger of a killed target can still be read, and the expired requests.
	ledgerWriter io.Writer

	mu      sync.Mutex
	mode    Mode
	running int
	ledger  []Entry
}

// WriteLedgerTo makes the target write each entry to w when its run starts, and an entry
// for each expired request, as one JSON object per line. It must be called before the
// target serves.
func (t *Target) WriteLedgerTo(w io.Writer) { t.ledgerWriter = w }

// New returns a target with the given number of slots.
func New(slots int, mode Mode) *Target {
	return &Target{slots: slots, started: time.Now(), mode: mode}
}

// SetMode replaces the mode.
func (t *Target) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// Ledger returns the runs so far, in the order in which they started.
func (t *Target) Ledger() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Entry(nil), t.ledger...)
}

// Handler returns the HTTP handler: /health, /load, the endpoints for tests under
// /admin, and callers at every other path.
func (t *Target) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/health", t.health)
	e.GET("/load", t.load)
	e.GET("/admin/ledger", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Ledger()) })
	e.PUT("/admin/mode", t.putMode)
	e.Any("/*", t.serve)
	return e
}

func (t *Target) putMode(c echo.Context) error {
	var mode Mode
	if err := c.Bind(&mode); err != nil {
		return err
	}
	t.SetMode(mode)
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) health(c echo.Context) error {
	t.mu.Lock()
	mode := t.mode
	t.mu.Unlock()
	unhealthy := mode.ForceUnhealthy || mode.Draining || mode.FailStatus != 0
	if unhealthy && !mode.ForceHealthy {
		return c.String(http.StatusServiceUnavailable, "sick\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// Load is the response body of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

func (t *Target) load(c echo.Context) error {
	return c.JSON(http.StatusOK, t.reportedLoad())
}

func (t *Target) reportedLoad() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode.HideLoad {
		return Load{Slots: t.slots}
	}
	return Load{Running: t.running, Slots: t.slots}
}

func (t *Target) serve(c echo.Context) error {
	mode, index, ok := t.begin(c.Request())
	if !ok {
		c.Response().Header().Set(HeaderShed, ShedNotRun)
		c.Response().Header().Set("Retry-After", "1")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	complete := false
	defer func() { t.end(index, complete) }()
	if !t.runService(c.Request(), mode) {
		return nil
	}
	if mode.AbortBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	load := t.reportedLoad()
	c.Response().Header().Set(HeaderLoad, strconv.Itoa(load.Running)+"/"+strconv.Itoa(load.Slots))
	err := writeResponse(c, mode)
	complete = err == nil
	return err
}

// begin takes a slot and adds a ledger entry. It returns false if the request is
// shed.
func (t *Target) begin(r *http.Request) (Mode, int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := newEntry(r)
	if entry.Expired {
		t.writeEntry(entry)
	}
	if t.mode.Draining || t.running >= t.slots || entry.Expired {
		return t.mode, 0, false
	}
	t.running++
	t.ledger = append(t.ledger, entry)
	t.writeEntry(entry)
	return t.mode, len(t.ledger) - 1, true
}

// newEntry returns the entry of a request that starts now. The clock is read once, so that
// the recorded start is the time that was compared with the deadline.
func newEntry(r *http.Request) Entry {
	entry := Entry{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Start:          time.Now(),
		StartSinceBoot: SinceBoot(),
	}
	var hasStartBy bool
	entry.StartBy, hasStartBy = millis(r.Header.Get(HeaderStartBy))
	entry.Budget, _ = millis(r.Header.Get(HeaderBudget))
	entry.Expired = hasStartBy && entry.StartSinceBoot.Milliseconds() > entry.StartBy.Milliseconds()
	return entry
}

// millis parses a header in milliseconds. It returns false if the header is missing or
// invalid.
func millis(text string) (time.Duration, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(number) * time.Millisecond, err == nil
}

func (t *Target) writeEntry(entry Entry) {
	if t.ledgerWriter == nil {
		return
	}
	// With an incomplete ledger a test could pass although a run was missed.
	if err := json.NewEncoder(t.ledgerWriter).Encode(entry); err != nil {
		panic(err)
	}
}

func (t *Target) end(index int, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.ledger[index].End = time.Now()
	t.ledger[index].Complete = complete
}

// runService waits for the service time. It returns false if the caller cancels the
// request before.
func (t *Target) runService(r *http.Request, mode Mode) bool {
	duration := time.Duration(mode.ServiceMS) * time.Millisecond
	if time.Since(t.started) < time.Duration(mode.ColdMS)*time.Millisecond {
		duration *= coldFactor
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
