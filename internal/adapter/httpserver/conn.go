package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/requestframe"
	"tamarackquay/internal/membudget"
)

// errClosing is the cause of the error of a read from a connection that is being closed.
var errClosing = errors.New("the node closes the connection")

// errClosed is the error of such a read. To http.Server it is an error of the network, after
// which it sends no response of its own.
var errClosed = &net.OpError{Op: "read", Err: errClosing}

// finalResponseTimeout is the time for writing the final response and for the caller to
// read it. After that, a late request of the caller would cause a reset.
const finalResponseTimeout = 100 * time.Millisecond

// conn is a caller's connection that can be closed gracefully while it is idle.
type conn struct {
	net.Conn
	server *Server
	client membudget.Client

	// headerBytes and headerLines are the bytes and lines read of the header of the next request, and
	// headerCost is the memory granted for it. They are used only by the goroutine that reads headers.
	headerBytes, headerLines int
	headerCost               int64
	// frames follows the requests. It is used only by the goroutine that reads.
	frames requestframe.Scanner

	mu sync.Mutex
	// handled is the number of requests that the handler got. invalid is the error of the framing of the
	// last request that is read, whose number is invalidAt.
	handled, invalidAt int
	invalid            error
	// hijacked is true once the connection carries another protocol.
	hijacked bool
	// fresh is true until the first byte is received. A caller that has just connected is
	// about to send its request, and would treat a response that arrives first as a
	// connection error. Its request is answered instead.
	fresh bool
	// active is true while the server handles a request, and after the connection was hijacked.
	active bool
	// draining is true while http.Server reads the rest of the body of a request that has been handled.
	draining bool
	// requestPending is true if bytes were received since the last response. It may
	// be true before active, since the server sets active only after it has read
	// some bytes of a request.
	requestPending bool
	// closing is true if the connection is to be closed at the next read. A request that
	// has been read completely by then is served, and ends the state.
	closing bool
	// onClose writes the final response, if there is one.
	onClose func()
	// ended is true once the server reads nothing more from the connection.
	ended bool
	// settled is closed when closing ends: by the close, or by a request.
	settled chan struct{}
	// since is the time at which the current wait began: when the connection was
	// opened, when the last response ended or when the first byte of a request
	// arrived, whichever is the latest.
	since time.Time
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// setState records a state change reported by http.Server.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive || state == http.StateHijacked
	c.hijacked = state == http.StateHijacked
	c.draining = false
	switch state {
	case http.StateActive, http.StateHijacked:
		c.cancelClose()
		c.serve(state)
	case http.StateIdle:
		c.since = time.Now()
		c.client.Wait(c.since)
		c.returnHeader()
	case http.StateClosed:
		c.cancelClose()
		c.ended = true
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.isInvalid() && !c.isCrowded() {
		c.linger(time.Now().Add(finalResponseTimeout))
	}
	if c.server.clients != nil {
		c.server.clients.Remove(&c.client)
	}
	return c.Conn.Close()
}

// close makes the next read close the connection, after onClose. It must be called with the mutex
// held, and only if no request is handled.
func (c *conn) close(onClose func()) {
	c.closing, c.onClose, c.settled = true, onClose, make(chan struct{})
	// This ends a pending read. It fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(time.Now())
}

// cancelClose ends the state closing, unless the close has begun. It must be called with the mutex
// held.
func (c *conn) cancelClose() {
	if !c.closing || c.ended {
		return
	}
	c.closing = false
	_ = c.Conn.SetReadDeadline(time.Time{})
	close(c.settled)
}

// endIfClosing closes the connection if it is to be closed, and reports whether it is closed. Only
// Read may call it: the bytes that http.Server has read are then no complete request.
func (c *conn) endIfClosing() bool {
	c.mu.Lock()
	closing, ended := c.closing, c.ended
	c.ended = closing || ended
	c.mu.Unlock()
	if closing && !ended {
		c.onClose()
		close(c.settled)
	}
	return closing || ended
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.endIfClosing() {
		return 0, errClosed
	}
	if invalid, err := c.passInvalid(); invalid {
		return 0, err
	}
	count, err := c.Conn.Read(p)
	if c.endIfClosing() {
		return 0, errClosed
	}
	count, err = c.follow(p[:count], err)
	if count > 0 && c.isHeader() && !c.growHeader(p[:count]) {
		c.refuse()
		return 0, errClosed
	}
	return count, err
}

// isHeader records that bytes were read, and reports whether they belong to the header of a request.
func (c *conn) isHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestPending {
		c.since = time.Now()
		if !c.active {
			c.client.Wait(c.since)
		}
	}
	c.requestPending = true
	c.fresh = false
	return !c.active
}

// refuse ends the connection with a refusal. Only Read may call it: the bytes that http.Server has read
// are then no complete request.
func (c *conn) refuse() {
	c.mu.Lock()
	c.cancelClose()
	c.ended = true
	c.mu.Unlock()
	c.server.ended()
	c.writeFinal(overloadRefusal())
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.requestPending = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// closeIfIdle closes the connection with the final response, unless it is new or a request has
// arrived.
func (c *conn) closeIfIdle(final []byte) {
	c.mu.Lock()
	if c.fresh || c.active || c.requestPending || c.closing || c.ended {
		c.mu.Unlock()
		return
	}
	c.close(func() { c.sendFinalResponse(final) })
	settled := c.settled
	c.mu.Unlock()
	<-settled
}

// sendFinalResponse writes the final response of a connection from which the server reads
// nothing more, and closes the write side.
func (c *conn) sendFinalResponse(final []byte) {
	deadline := time.Now().Add(finalResponseTimeout)
	if !c.writeFinal(final) {
		return
	}
	c.linger(deadline)
}

// linger ends the sending side and discards what the caller still sends, until a deadline. Closing the
// connection with unread data would reset it, and the caller could lose the last response.
func (c *conn) linger(deadline time.Time) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(deadline)
	buf := make([]byte, 4096)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}

// writeFinal writes the final response, and reports whether the connection is still open. With TLS, it
// writes nothing.
func (c *conn) writeFinal(final []byte) bool {
	if c.server.tls != nil {
		return true
	}
	// This fails only on a closed connection; writing to it then reports that.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(finalResponseTimeout))
	_, err := c.Conn.Write(final)
	return err == nil
}
