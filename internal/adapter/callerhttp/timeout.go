package callerhttp

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
		switch c.checkTimeout(now, timeouts) {
		case headerTimeout:
			if s.HeaderTimedOut != nil {
				s.HeaderTimedOut(c.RemoteAddr().String())
			}
			go c.sendFinalResponse(final)
		case idleTimeout:
			// This fails if the caller has closed the connection meanwhile.
			_ = c.Conn.Close()
		default:
			continue
		}
		closed++
	}
	return closed, nil
}

// timeoutKind is the timeout that a connection has exceeded.
type timeoutKind uint8

const (
	noTimeout timeoutKind = iota
	headerTimeout
	idleTimeout
)

// checkTimeout returns the timeout that the connection has exceeded, or noTimeout. If it
// has exceeded one, the server reads nothing more from it.
func (c *conn) checkTimeout(now time.Time, timeouts Timeouts) timeoutKind {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch {
	case c.active || c.closing:
		return noTimeout
	case c.requestPending && timeouts.Header > 0 && waited > timeouts.Header:
		c.closing = true
		return headerTimeout
	case !c.requestPending && timeouts.Idle > 0 && waited > timeouts.Idle:
		c.closing = true
		return idleTimeout
	}
	return noTimeout
}
