package callhttp

import (
	"net/http"
	"syscall"

	"github.com/labstack/echo/v4"
	"golang.org/x/sys/unix"
)

// NewRouter returns a router each of whose handlers ends in a response or breaks its connection off.
// All listeners use it: http.Server responds with 200 and an empty body for a handler that returns
// without a response.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.Pre(requireResponse)
	return e
}

func requireResponse(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !c.Request().ProtoAtLeast(1, 1) {
			defer resetAborted(c.Request())
		}
		err := next(c)
		if err == nil && !c.Response().Committed {
			panic(http.ErrAbortHandler)
		}
		return err
	}
}

// resetAborted makes the connection of an aborted response end with a reset. A response of HTTP/1.0
// without a length ends with its connection, so after a normal close a part of it would look complete.
func resetAborted(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if conn, ok := r.Context().Value(connKey{}).(syscall.Conn); ok {
		if raw, err := conn.SyscallConn(); err == nil {
			// This fails only if the connection is already closed.
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			})
		}
	}
	panic(cause)
}
