// Package callerhttp serves callers over HTTP.
package callerhttp

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/httpserver"
	"tamarackquay/internal/port"
)

// Entry handles callers' requests.
type Entry interface {
	// ServeCaller handles one request. It is the only writer of the response.
	ServeCaller(w http.ResponseWriter, r *http.Request)
}

// Limits are the maximum sizes of a caller's request in bytes.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// SendBytes is the size of each connection's send buffer in the kernel; 0 leaves it to
	// the kernel, which grows it up to some megabytes for a slow reader.
	SendBytes int
}

// hardHeaderFactor is the multiple of the header limit up to which headers are read. For
// larger headers, net/http itself responds with 431, without an Outcome as the body, and
// closes the connection. Up to this size, the response states the exceeded limit and that
// the request did not run.
const hardHeaderFactor = 2

// NewServer returns the server for callers. The caller of NewServer provides the listener.
func NewServer(entry Entry, limits Limits) *httpserver.Server {
	e := callhttp.NewRouter()
	// Routes of echo would limit methods and forms of the request target.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			serve(entry, limits, c.Response(), c.Request())
			return nil
		}
	})
	s := httpserver.New(e, hardHeaderFactor*limits.HeaderBytes)
	s.SendBytes = limits.SendBytes
	return s
}

func serve(entry Entry, limits Limits, w http.ResponseWriter, r *http.Request) {
	if callhttp.HeaderBytes(r) > limits.HeaderBytes {
		callhttp.WriteError(w, port.Refuse(port.ReasonHeaderTooLarge, 0, "the headers are over %d bytes", limits.HeaderBytes))
		return
	}
	if r.ContentLength > limits.BodyBytes {
		callhttp.WriteError(w, port.Refuse(port.ReasonBodyTooLarge, 0, "the body is over %d bytes", limits.BodyBytes))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	entry.ServeCaller(w, r)
}
