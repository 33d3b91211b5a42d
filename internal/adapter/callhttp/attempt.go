package callhttp

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors that a guarded connection gives in place of a write.
var (
	errReplay  = errors.New("the request was already written to another connection")
	errLate    = errors.New("the deadline is over")
	errGone    = errors.New("the sender of the request has closed its connection")
	errEnded   = errors.New("the attempt is over")
	errUnowned = errors.New("the connection was not handed to a request")
)

// attempt is one sending of one request. It is the witness for both promises
// that depend on bytes: a request that wrote nothing did not run, and a request
// that wrote to one connection is never written to a second one.
//
// net/http sends a request again by itself when a reused connection dies and
// the method or an Idempotency-Key header makes the request look replayable. The
// target may have run it before it died, and would run it twice. The writes
// themselves are checked here, below net/http, so that no rule of its own can
// lead around the check. It is safe for concurrent use.
type attempt struct {
	deadline time.Time
	// gone reports whether whoever sent the request has closed its connection.
	gone func() bool

	mu       sync.Mutex
	wrote    *Conn
	late     bool
	ended    bool
	answered bool
}

// mayWrite decides on each write of the attempt to a connection. The deadline
// is looked at here, last of all and before the first byte: a process that was
// paused after it took a slot, or while it asked for the sender, would otherwise
// start work that its caller has long given up.
func (a *attempt) mayWrite(c *Conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.wrote == c:
		return nil
	case a.wrote != nil:
		return errReplay
	case a.ended:
		return errEnded
	case a.gone():
		a.late = true
		return errGone
	case !time.Now().Before(a.deadline):
		a.late = true
		return errLate
	}
	a.wrote = c
	return nil
}

// heldBack notes that the first write to a connection ended at the deadline before
// any byte went out.
func (a *attempt) heldBack() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wrote = nil
	a.late = true
}

// end closes the attempt to first writes and reports whether any was made, and
// whether one was held back because of the deadline.
func (a *attempt) end() (wrote, late bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.wrote != nil, a.late
}

// finish notes that the attempt got its answer.
func (a *attempt) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = true
}

// unanswered reports whether the attempt still has no answer.
func (a *attempt) unanswered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.answered
}

// Conn is a connection on which nothing is written but by the attempt that
// holds it.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	holder *attempt
	// begun is the attempt whose first write to this connection is done.
	begun *attempt
}

// Guard wraps a connection that a transport of RoundTrip has opened. For TLS it
// must wrap the TLS connection, so that the handshake doesn't count as writing.
func Guard(conn net.Conn) *Conn { return &Conn{Conn: conn} }

func (c *Conn) hold(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = a
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	holder := c.holder
	first := holder != c.begun
	c.begun = holder
	c.mu.Unlock()
	if holder == nil {
		return 0, errUnowned
	}
	if err := holder.mayWrite(c); err != nil {
		return 0, err
	}
	if first {
		return c.writeFirst(holder, p)
	}
	return c.Conn.Write(p)
}

// writeFirst writes an attempt's first bytes, unless the deadline passes before the
// connection takes them: the process may be paused after the last look at the clock.
func (c *Conn) writeFirst(holder *attempt, p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(holder.deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		holder.heldBack()
		return 0, errLate
	}
	if err != nil {
		return n, err
	}
	return n, c.Conn.SetWriteDeadline(time.Time{})
}

// Close implements net.Conn. The connection of an attempt without an answer is
// reset: after a plain close the kernel would go on sending what is buffered,
// and a request that was given up while the network was cut would run when the
// network is back.
func (c *Conn) Close() error {
	c.mu.Lock()
	holder := c.holder
	c.mu.Unlock()
	if holder != nil && holder.unanswered() {
		reset(c.Conn)
	}
	return c.Conn.Close()
}

func reset(conn net.Conn) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
}
