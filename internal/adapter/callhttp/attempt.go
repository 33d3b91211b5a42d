package callhttp

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/responsehead"
)

// Errors that a guarded connection returns instead of writing.
var (
	errReplay       = errors.New("the request was already written to another connection")
	errDeadline     = errors.New("the deadline is over")
	errSenderClosed = errors.New("the sender of the request has closed its connection")
	errEnded        = errors.New("the attempt is over")
	errNoAttempt    = errors.New("the connection was not handed to a request")
)

// attempt tracks the writes of one attempt to send a request. It ensures that a request
// reported as not written did not run, and that a request is written to at most one
// connection.
//
// When a reused connection breaks, net/http itself sends a request again if its method
// or an Idempotency-Key header makes it look replayable. If the target had run the
// request before the connection broke, the request would run twice. Therefore each write
// is checked here, below net/http, where net/http's own rules can't bypass the check.
//
// An attempt is safe for concurrent use.
type attempt struct {
	deadline time.Time
	// senderClosed reports whether the sender of the request has closed its
	// connection.
	senderClosed func() bool

	mu sync.Mutex
	// writtenTo is the connection to which the request was written, or nil.
	writtenTo *Conn
	// expired is true if a first write was prevented because the deadline had
	// passed or the sender had closed its connection.
	expired bool
	// ended is true once no further first write is allowed.
	ended     bool
	responded bool
}

// checkWrite returns an error if the attempt must not write to the connection. The
// deadline is checked last, directly before the first byte: a process that was paused
// after it acquired a slot, or during the check of the sender, would otherwise start
// work after the caller stopped waiting.
func (a *attempt) checkWrite(c *Conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.writtenTo == c:
		return nil
	case a.writtenTo != nil:
		return errReplay
	case a.ended:
		return errEnded
	case a.senderClosed():
		a.expired = true
		return errSenderClosed
	case !time.Now().Before(a.deadline):
		a.expired = true
		return errDeadline
	}
	a.writtenTo = c
	return nil
}

// recordExpired records that the first write reached the deadline before any byte was
// written.
func (a *attempt) recordExpired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writtenTo = nil
	a.expired = true
}

// end prevents any further first write. It reports whether the request was written, and
// whether a first write was prevented because the deadline had passed or the sender had
// closed its connection.
func (a *attempt) end() (wrote, expired bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.writtenTo != nil, a.expired
}

// recordResponse records that the response was received.
func (a *attempt) recordResponse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.responded = true
}

// pending reports whether no response was received yet.
func (a *attempt) pending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.responded
}

// Conn is a connection that only the attempt assigned to it can write to, and from which only
// responses with a valid head are read.
type Conn struct {
	net.Conn

	// scanner checks the head of the response to the attempt read. Both are used by the reader only.
	scanner responsehead.Scanner
	read    *attempt

	mu      sync.Mutex
	attempt *attempt
	// started is the last attempt that has begun its first write to this
	// connection.
	started *attempt
}

// Guard wraps a connection opened by a transport that is used with RoundTrip. With TLS
// it must wrap the TLS connection, so that the handshake doesn't count as a write.
func Guard(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// assign gives the connection to an attempt.
func (c *Conn) assign(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = a
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a := c.attempt
	first := a != c.started
	c.started = a
	c.mu.Unlock()
	if a == nil {
		return 0, errNoAttempt
	}
	if err := a.checkWrite(c); err != nil {
		return 0, err
	}
	if first {
		return c.writeFirst(a, p)
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	if started != c.read {
		c.read = started
		c.scanner.Reset()
	}
	if invalid := c.scanner.Scan(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// writeFirst writes the first bytes of an attempt. It sets a write deadline, since the
// process may be paused between the check of the deadline and the write.
func (c *Conn) writeFirst(a *attempt, p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(a.deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		a.recordExpired()
		return 0, errDeadline
	}
	if err != nil {
		return n, err
	}
	return n, c.Conn.SetWriteDeadline(time.Time{})
}

// Close implements net.Conn. If no response was received, the connection is reset. After
// a normal close the kernel would continue to send buffered data, and a request that was
// canceled during a network partition would run once the partition ends.
func (c *Conn) Close() error {
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if a != nil && a.pending() {
		reset(c.Conn)
	}
	return c.Conn.Close()
}

func reset(conn net.Conn) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// This fails only if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
}
