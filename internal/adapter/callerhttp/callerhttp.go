// Package callerhttp serves callers over HTTP.
package callerhttp

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/adapter/callhttp"
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

const (
	// readHeaderTimeout closes connections whose callers send headers too slowly.
	readHeaderTimeout = 10 * time.Second
	// queryIdleTimeout is longer than the usual time between two queries of metrics.
	queryIdleTimeout = 2 * time.Minute
)

// NewServer returns the server for callers. The caller of NewServer provides the listener.
func NewServer(entry Entry, limits Limits) *Server {
	e := callhttp.NewRouter()
	e.Any("/*", func(c echo.Context) error {
		serve(entry, limits, c.Response(), c.Request())
		return nil
	})
	s := New(e, hardHeaderFactor*limits.HeaderBytes)
	s.sendBytes = limits.SendBytes
	return s
}

// New returns a server for a handler that reads headers up to a size in bytes.
func New(handler http.Handler, headerBytes int) *Server {
	s := &Server{acceptDone: make(chan struct{}), conns: map[*conn]struct{}{}}
	s.Server = &http.Server{
		Handler:           drainBodies(handler),
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       connContext,
		ConnState:         s.track,
	}
	return s
}

// NewQuery returns a server like New for requests without bodies, such as those for readiness and metrics.
func NewQuery(handler http.Handler, headerBytes int) *Server {
	s := New(handler, headerBytes)
	s.ReadTimeout = readHeaderTimeout
	s.IdleTimeout = queryIdleTimeout
	return s
}

// NewTLS returns a server like New for clients that TLS authenticates.
func NewTLS(handler http.Handler, headerBytes int, config *tls.Config) *Server {
	s := New(handler, headerBytes)
	s.tls = config
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
