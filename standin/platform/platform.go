// Package platform is a stand-in for the platform's configuration service and VM
// list, for tests and the demo only. It implements the published protocol and injects
// faults that users have seen.
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"tamarackquay/internal/adapter/platformhttp"
	"tamarackquay/internal/snapshot"
)

// MaxReadsPerSecond is the rate limit of the platform for all readers together.
const MaxReadsPerSecond = 2000

// watchTimeout is how long a watch waits for a change.
const watchTimeout = 20 * time.Second

const manifestKey = "manifest"

// Mode sets the faults that are injected; the zero value sets none.
type Mode struct {
	// Down rejects every read.
	Down bool `json:"down"`
	// Stale serves the values that were published when the mode was set.
	Stale bool `json:"stale"`
	// SlowMS delays each response.
	SlowMS int `json:"slow_ms"`
	// Truncate cuts off each value after half of its bytes.
	Truncate bool `json:"cut_short"`
	// ListLagMS delays each change of the VM list.
	ListLagMS int `json:"list_lag_ms"`
}

// Stats counts the reads. Throttled are reads that exceeded the rate limit.
type Stats struct {
	Reads     uint64 `json:"reads"`
	Throttled uint64 `json:"over_budget"`
	// Bytes is the size of the content sent.
	Bytes uint64 `json:"bytes"`
}

type value struct {
	revision uint64
	content  []byte
}

// Platform is the stand-in platform. It is safe for concurrent use.
type Platform struct {
	budget *rate.Limiter

	reads, throttled, bytes atomic.Uint64

	mu          sync.Mutex
	mode        Mode
	values      map[string]value
	staleValues map[string]value
	revision    uint64
	changed     chan struct{}
	vms         []platformhttp.VMEntry
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		budget:  rate.NewLimiter(MaxReadsPerSecond, MaxReadsPerSecond),
		values:  map[string]value{},
		changed: make(chan struct{}),
	}
}

// Publish stores a publication, the parts first and the manifest last.
func (p *Platform) Publish(publication *snapshot.Publication) error {
	raw, err := publication.Manifest.Encode()
	if err != nil {
		return err
	}
	for hash, part := range publication.Parts {
		p.Put("part/"+hash.String(), part)
	}
	p.Put(manifestKey, raw)
	return nil
}

// Put stores one value.
func (p *Platform) Put(key string, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{revision: p.revision, content: content}
	p.notifyWatches()
}

// notifyWatches wakes all waiting watches. The caller must hold mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetMode replaces the mode.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode.Stale && !p.mode.Stale {
		p.staleValues = make(map[string]value, len(p.values))
		for key, v := range p.values {
			p.staleValues[key] = v
		}
	}
	p.mode = mode
	p.notifyWatches()
}

// SetVMs replaces the VM list after the delay set by Mode.ListLagMS.
func (p *Platform) SetVMs(vms []platformhttp.VMEntry) {
	p.mu.Lock()
	lag := time.Duration(p.mode.ListLagMS) * time.Millisecond
	p.mu.Unlock()
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.vms = vms
	})
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	return Stats{Reads: p.reads.Load(), Throttled: p.throttled.Load(), Bytes: p.bytes.Load()}
}

// Handler returns the HTTP handler: /v1 for readers, /admin for operators and tests.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	readers := e.Group("/v1", p.injectFaults)
	readers.GET("/config/*", p.readConfig)
	readers.GET("/vms", p.readVMs)
	e.PUT("/admin/config/*", p.putConfig)
	e.PUT("/admin/mode", p.putMode)
	e.PUT("/admin/vms", p.putVMs)
	e.GET("/admin/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Stats()) })
	return e
}

func (p *Platform) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.reads.Add(1)
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		if mode.SlowMS > 0 {
			time.Sleep(time.Duration(mode.SlowMS) * time.Millisecond)
		}
		if mode.Down {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if !p.budget.Allow() {
			p.throttled.Add(1)
			return c.NoContent(http.StatusTooManyRequests)
		}
		return next(c)
	}
}

func (p *Platform) readConfig(c echo.Context) error {
	key := c.Param("*")
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	deadline := time.NewTimer(watchTimeout)
	defer deadline.Stop()
	for {
		v, ok, changed := p.lookup(key)
		switch {
		case ok && v.revision > after:
			c.Response().Header().Set("Revision", strconv.FormatUint(v.revision, 10))
			return p.send(c, v.content)
		case after == 0:
			return c.NoContent(http.StatusNotFound)
		}
		select {
		case <-changed:
			if p.isDown() {
				return c.NoContent(http.StatusServiceUnavailable)
			}
		case <-deadline.C:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode.Down
}

func (p *Platform) lookup(key string) (value, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.mode.Stale {
		values = p.staleValues
	}
	v, ok := values[key]
	return v, ok, p.changed
}

// send writes a value. With Truncate it closes the connection after half of it.
func (p *Platform) send(c echo.Context, content []byte) error {
	p.mu.Lock()
	truncate := p.mode.Truncate
	p.mu.Unlock()
	p.bytes.Add(uint64(len(content)))
	if !truncate {
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, content)
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(content)))
	c.Response().WriteHeader(http.StatusOK)
	// The error is ignored: the connection is closed next in any case.
	_, _ = c.Response().Write(content[:len(content)/2])
	panic(http.ErrAbortHandler)
}

func (p *Platform) readVMs(c echo.Context) error {
	p.mu.Lock()
	vms := p.vms
	p.mu.Unlock()
	return c.JSON(http.StatusOK, vms)
}
