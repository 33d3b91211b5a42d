package httpserver

import (
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// Timeouts are the timeouts of callers' connections. Zero means no timeout.
type Timeouts struct {
	// Header limits the time from the first byte of a request to the end of its
	// headers, and Idle the time between two requests.
	Header, Idle time.Duration
}

// CloseTimedOut closes the connections that have exceeded a timeout, and returns their
// number. Without it, callers that send headers very slowly, or open connections and don't
// use them, could exhaust the file descriptors and memory of the process. http.Server has
// the same timeouts, but they can't be changed with the configuration while it serves.
func (s *Server) CloseTimedOut(now time.Time, timeouts Timeouts) (int, error) {
	final, err := callhttp.FinalRefusal(port.Refuse(port.ReasonHeaderTooSlow, 0, "the headers did not come within %s", timeouts.Header))
	if err != nil {
		return 0, err
	}
	closed := 0
	for _, c := range s.connections() {
		if c.closeIfTimedOut(now, timeouts, func() { s.refuseHeader(c, final) }) {
			closed++
		}
	}
	return closed, nil
}

// refuseHeader answers a request whose header is late.
func (s *Server) refuseHeader(c *conn, final []byte) {
	if s.HeaderTimedOut != nil {
		s.HeaderTimedOut(c.RemoteAddr().String())
	}
	c.sendFinalResponse(final)
}

// closeIfTimedOut closes the connection if it has exceeded a timeout, and reports whether it has.
// A request whose header is late is refused.
func (c *conn) closeIfTimedOut(now time.Time, timeouts Timeouts, refuse func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch {
	case c.active || c.closing || c.ended:
		return false
	case c.requestPending && timeouts.Header > 0 && waited > timeouts.Header:
		c.close(refuse)
		return true
	case !c.requestPending && timeouts.Idle > 0 && waited > timeouts.Idle:
		c.close(func() {})
		return true
	}
	return false
}
