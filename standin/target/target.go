// Package target is a stand-in for a target: an upstream with slots, cold
// start, load shedding, and a ledger of what it really ran, for tests and the
// demo only.
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
	// HeaderShed set to ShedNotRun promises that a shed request did not run.
	HeaderShed = "Target-Shed"
	ShedNotRun = "not-run"
	// HeaderLoad reports "running/slots" on each answer.
	HeaderLoad = "Target-Load"
	// HeaderRequestID is the id under which a run stands in the ledger.
	HeaderRequestID = "Tamarack-Request-Id"
	// HeaderStartBy is the moment of SinceBoot, in milliseconds, after which a
	// request is shed.
	HeaderStartBy = "Tamarack-Start-By-Ms"
)

// Mode says how the target behaves; the zero value behaves well.
type Mode struct {
	// ServiceMS is how long each request runs.
	ServiceMS int `json:"service_ms"`
	// ColdMS is how long after the start each request takes ten times longer.
	ColdMS int `json:"cold_ms"`
	// FailStatus, if set, is answered after running.
	FailStatus int `json:"fail_status"`
	// DieBeforeAnswer runs the request and cuts the connection.
	AbortBeforeResponse bool `json:"die_before_answer"`
	// CutBodyAfter cuts an archive after this many bytes.
	CutBodyAfter int64 `json:"cut_body_after"`
	// StallBodyAfter stops sending an archive after this many bytes.
	StallBodyAfter int64 `json:"stall_body_after"`
	// Draining sheds all new work.
	Draining bool `json:"draining"`
	// HealthLies answers "ok" whatever happens; HealthSick the opposite.
	ForceHealthy   bool `json:"health_lies"`
	ForceUnhealthy bool `json:"health_sick"`
	// LoadLies reports no load whatever runs.
	HideLoad bool `json:"load_lies"`
}

// Entry is one run in the ledger.
type Entry struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Start          time.Time `json:"start"`
	// StartSinceBoot is the same on the clock of SinceBoot.
	StartSinceBoot time.Duration `json:"start_since_boot"`
	End            time.Time     `json:"end"`
	// Whole is false for runs whose answer was cut.
	Complete bool `json:"whole"`
}

// coldFactor is how much slower a cold target is.
const coldFactor = 10

// Target is the stand-in. It is safe for concurrent use.
type Target struct {
	slots   int
	started time.Time

	// journal, if set, gets each entry when its run starts, so that the ledger
	// of a killed target can still be read.
	journal io.Writer

	mu      sync.Mutex
	mode    Mode
	running int
	ledger  []Entry
}

// Journal makes the target write each entry to w when its run starts, one JSON
// object a line. It must be called before the target serves.
func (t *Target) WriteLedgerTo(w io.Writer) { t.journal = w }

// New returns a target with the number of slots.
func New(slots int, mode Mode) *Target {
	return &Target{slots: slots, started: time.Now(), mode: mode}
}

// SetMode changes the behaviour.
func (t *Target) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// Ledger returns what ran, in the order of starts.
func (t *Target) Ledger() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Entry(nil), t.ledger...)
}

// Handler serves callers at every path, health and load at theirs, and tests
// under /admin.
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
	bad := mode.ForceUnhealthy || mode.Draining || mode.FailStatus != 0
	if bad && !mode.ForceHealthy {
		return c.String(http.StatusServiceUnavailable, "sick\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// Load is the body of the load endpoint.
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
	whole := false
	defer func() { t.end(index, whole) }()
	if !t.work(c.Request(), mode) {
		return nil
	}
	if mode.AbortBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	load := t.reportedLoad()
	c.Response().Header().Set(HeaderLoad, strconv.Itoa(load.Running)+"/"+strconv.Itoa(load.Slots))
	err := answer(c, mode)
	whole = err == nil
	return err
}

// begin takes a slot and opens a ledger entry, or reports that the request is
// shed.
func (t *Target) begin(r *http.Request) (Mode, int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode.Draining || t.running >= t.slots || isLate(r) {
		return t.mode, 0, false
	}
	t.running++
	entry := Entry{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Start:          time.Now(),
		StartSinceBoot: SinceBoot(),
	}
	t.ledger = append(t.ledger, entry)
	if t.journal != nil {
		// A ledger that can't be kept would let a test pass without proof.
		if err := json.NewEncoder(t.journal).Encode(entry); err != nil {
			panic(err)
		}
	}
	return t.mode, len(t.ledger) - 1, true
}

// isLate reports whether a request came too late to begin.
func isLate(r *http.Request) bool {
	by, err := strconv.ParseInt(r.Header.Get(HeaderStartBy), 10, 64)
	return err == nil && SinceBoot().Milliseconds() > by
}

func (t *Target) end(index int, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.ledger[index].End = time.Now()
	t.ledger[index].Complete = whole
}

// work takes the service time, ended early by the caller's cancellation.
func (t *Target) work(r *http.Request, mode Mode) bool {
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
