// Package operatorhttp serves operators over HTTP. It provides the health checks,
// the status, the audit trail and the metrics of a node.
package operatorhttp

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/adapter/auditlog"
	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
)

// The paths of the server.
const (
	// PathAlive returns 200 while the process runs.
	PathAlive = "/healthz"
	// PathReady returns 200 while the node accepts requests and 503 while it
	// doesn't. The first word of the body is the node's health state.
	PathReady = "/readyz"
	// PathStatus returns a node.Status as JSON.
	PathStatus = "/status"
	// PathAudit returns the events of the audit trail as JSON, selected by the query of an
	// auditlog.Filter.
	PathAudit = "/audit"
	// PathMetrics returns the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
)

// withoutMembers is the value of the query parameter "members" that omits the list of
// members from the status.
const withoutMembers = "none"

// PathBriefStatus is the path of the status without the list of members. In a fleet of
// 1,600 nodes, each list has 1,600 members, and the lists of all nodes together would be
// most of a gigabyte.
const PathBriefStatus = PathStatus + "?members=" + withoutMembers

// Node provides the status of the node.
type Node interface {
	Status() node.Status
}

// Meter renders metrics in the Prometheus text format.
type Meter interface {
	Write(w io.Writer)
}

// Trail provides the events of the audit trail.
type Trail interface {
	Events() []port.AuditEvent
}

// NewHandler returns the handler of operators' requests.
func NewHandler(n Node, trail Trail, meter Meter) http.Handler {
	e := callhttp.NewRouter()
	e.GET(PathAlive, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(PathReady, func(c echo.Context) error { return writeReady(c, n.Status().Health) })
	e.GET(PathStatus, func(c echo.Context) error { return writeStatus(c, n.Status()) })
	e.GET(PathAudit, func(c echo.Context) error { return writeAudit(c, trail) })
	e.GET(PathMetrics, func(c echo.Context) error {
		meter.Write(c.Response())
		return nil
	})
	return e
}

func writeStatus(c echo.Context, s node.Status) error {
	if c.QueryParam("members") == withoutMembers {
		s.Members = nil
	}
	return c.JSON(http.StatusOK, s)
}

func writeAudit(c echo.Context, trail Trail) error {
	filter, err := auditlog.ParseFilter(c.QueryParams())
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, filter.Apply(trail.Events()))
}

func writeReady(c echo.Context, health node.Health) error {
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
