// Package callerhttp serves callers over HTTP.
package callerhttp

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// Entry serves one caller's request; it is the only writer of the answer.
type Entry interface {
	ServeCaller(w http.ResponseWriter, r *http.Request)
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// hardHeaderFactor is how far over the limit headers are still read. Past it
// net/http answers 431 by itself and closes the connection, without the typed
// body; up to it the caller is told what was too large and that nothing ran.
const hardHeaderFactor = 2

// readHeaderTimeout ends connections that dribble their headers.
const readHeaderTimeout = 10 * time.Second

// NewServer returns the callers' server; the caller of NewServer binds it.
func NewServer(entry Entry, limits Limits) *Server {
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", func(c echo.Context) error {
		serve(entry, limits, c.Response(), c.Request())
		return nil
	})
	s := &Server{served: make(chan struct{}), conns: map[*conn]struct{}{}}
	s.Server = &http.Server{
		Handler:           e,
		MaxHeaderBytes:    hardHeaderFactor * limits.HeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       callhttp.ConnContext,
		ConnState:         s.track,
	}
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
