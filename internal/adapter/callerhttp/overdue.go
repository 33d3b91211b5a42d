package callerhttp

import (
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// Waits bound how long a caller may keep a connection waiting. Zero means no
// bound.
type Timeouts struct {
	// Header bounds the time from the first byte of a request to the end of its
	// headers, Idle that between two requests.
	Header, Idle time.Duration
}

// CloseOverdue ends the connections whose callers keep them waiting longer than
// they may. Without it a caller that dribbles its headers, or opens connections
// and leaves them, takes descriptors and memory until the process has none left.
// http.Server has the same bounds, but they can't change with the configuration
// while it serves. It returns how many were ended.
func (s *Server) CloseTimedOut(now time.Time, waits Timeouts) (int, error) {
	tooSlow, err := callhttp.FinalRefusal(port.Refuse(port.ReasonHeaderTooSlow, 0, "the headers did not come within %s", waits.Header))
	if err != nil {
		return 0, err
	}
	ended := 0
	for _, c := range s.connections() {
		switch c.overdue(now, waits) {
		case dribbles:
			go c.leave(tooSlow)
		case idles:
			// The other side may have closed it meanwhile.
			_ = c.Conn.Close()
		default:
			continue
		}
		ended++
	}
	return ended, nil
}

// overdueness says in which way a connection waits for too long.
type overdueness uint8

const (
	inTime overdueness = iota
	dribbles
	idles
)

// overdue judges the connection and, if it is overdue, lets the server read
// nothing more from it.
func (c *conn) overdue(now time.Time, waits Timeouts) overdueness {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch {
	case c.active || c.ended:
		return inTime
	case c.unanswered && waits.Header > 0 && waited > waits.Header:
		c.ended = true
		return dribbles
	case !c.unanswered && waits.Idle > 0 && waited > waits.Idle:
		c.ended = true
		return idles
	}
	return inTime
}
