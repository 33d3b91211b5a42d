// Package operatorhttp serves operators: health, status, audit and metrics.
package operatorhttp

import (
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
)

// Node is what the pages show.
type Node interface {
	Ready() bool
	Status() node.Status
}

// Meter renders metrics in the Prometheus text format.
type Meter interface {
	Write(w io.Writer)
}

// Trail is the audit trail that the pages show.
type Trail interface {
	Events() []port.AuditEvent
}

const readHeaderTimeout = 10 * time.Second

// NewServer returns the operators' server; the caller of NewServer binds it.
func NewServer(n Node, trail Trail, meter Meter) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error { return ready(c, n) })
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, n.Status()) })
	e.GET("/audit", func(c echo.Context) error { return c.JSON(http.StatusOK, trail.Events()) })
	e.GET("/metrics", func(c echo.Context) error {
		meter.Write(c.Response())
		return nil
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
}

func ready(c echo.Context, n Node) error {
	if !n.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
