// Package operatorhttp serves operators: health, status, audit and metrics.
package operatorhttp

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/adapter/auditlog"
	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
)

// The paths that operators ask.
const (
	// PathAlive answers 200 while the process runs.
	PathAlive = "/healthz"
	// PathReady answers 200 while the node takes requests and 503 while it
	// doesn't; the body's first word is the node's health state.
	PathReady   = "/readyz"
	PathStatus  = "/status"
	PathAudit   = "/audit"
	PathMetrics = "/metrics"
)

// withoutMembers as the query parameter "members" leaves the list of members out
// of a status.
const withoutMembers = "none"

// PathBriefStatus is the status without the list of members: of 1,600 nodes,
// each with 1,600 members, the lists alone would be most of a gigabyte.
const PathBriefStatus = PathStatus + "?members=" + withoutMembers

// Node is what the pages show.
type Node interface {
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
	e.GET(PathAlive, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(PathReady, func(c echo.Context) error { return ready(c, n.Status().Health) })
	e.GET(PathStatus, func(c echo.Context) error { return status(c, n.Status()) })
	e.GET(PathAudit, func(c echo.Context) error { return audit(c, trail) })
	e.GET(PathMetrics, func(c echo.Context) error {
		meter.Write(c.Response())
		return nil
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
}

func status(c echo.Context, s node.Status) error {
	if c.QueryParam("members") == withoutMembers {
		s.Members = nil
	}
	return c.JSON(http.StatusOK, s)
}

func audit(c echo.Context, trail Trail) error {
	filter, err := auditlog.ParseFilter(c.QueryParams())
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, filter.Apply(trail.Events()))
}

func ready(c echo.Context, health node.Health) error {
	code := http.StatusServiceUnavailable
	if health.Serving() {
		code = http.StatusOK
	}
	body := fmt.Sprintf("%s since %s\n", health.State, health.Since.UTC().Format(time.RFC3339))
	for _, reason := range health.Reasons {
		body += reason + "\n"
	}
	return c.String(code, body)
}
