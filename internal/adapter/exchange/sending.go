package exchange

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errEnded is the error of a write to a connection whose exchange has failed.
var errEnded = errors.New("the exchange has failed")

// sendState decides whether a request counts as sent. A failure may be found while another
// goroutine writes, so the first write is recorded before it begins, and none begins once the
// exchange has failed. It is safe for concurrent use.
type sendState struct {
	mu sync.Mutex
	// begun is true from the beginning of the first write, unless it wrote nothing.
	begun bool
	// ended is true once the exchange has failed.
	ended bool
}

// reset begins a request.
func (s *sendState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.ended = false, false
}

// begin records that a write begins. It reports whether it is the first one, and returns an error
// if it must not begin.
func (s *sendState) begin(deadline time.Time) (first bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.begun:
		return false, nil
	case s.ended:
		return false, errEnded
	case !deadline.IsZero() && !time.Now().Before(deadline):
		// The process may have been paused since the deadline was checked.
		return false, errDeadline
	}
	s.begun = true
	return true, nil
}

// undo records that the first write has written nothing.
func (s *sendState) undo() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = false
}

// end prevents a first write from beginning, and reports whether one has begun.
func (s *sendState) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.begun
}

// writeTracker records the writes of requests in the state of their connection.
type writeTracker struct {
	net.Conn
	conn *conn

	// mu is held while a write runs.
	mu sync.Mutex
	// err is the error of the first write that failed.
	err error
}

// Write implements io.Writer.
func (w *writeTracker) Write(p []byte) (int, error) {
	first, err := w.conn.sending.begin(w.conn.writeDeadline)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.Conn.Write(p)
	if w.err == nil {
		w.err = err
	}
	if first && n == 0 && err != nil {
		w.conn.sending.undo()
	}
	return n, err
}
