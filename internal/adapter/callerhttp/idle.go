package callerhttp

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/port"
)

// Server is the HTTP server for callers. It closes idle connections gracefully.
//
// A server may close an idle connection at the moment at which a caller sends a request
// on it. The caller then gets a connection error and can't know whether its request ran.
// CloseIdle therefore sends a response before it closes a connection. A caller that has
// sent nothing drops the connection. A caller that has just sent a request takes it for
// the response to that request. The response says that the request did not run, which
// is true, because the goroutine that reads the connection's requests writes it in place of
// reading on: what that goroutine has read until then is no complete request.
type Server struct {
	*http.Server

	// HeaderTimedOut is called with the caller's address when a connection is answered 408;
	// it may be nil. It must be set before Run.
	HeaderTimedOut func(caller string)

	// sendBytes is the size of each connection's send buffer; 0 leaves it to the kernel.
	sendBytes int

	// tls is nil without TLS.
	tls *tls.Config

	// clients limits the connections; it may be nil. ended is called for each that it ended.
	clients *membudget.Clients
	ended   func()

	// acceptDone is closed when Run accepts no more connections.
	acceptDone chan struct{}

	// stopping is true once the listener is about to be closed.
	stopping atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// Run serves the listener's connections until StopAccepting or Shutdown is called. It
// must be called only once.
func (s *Server) Run(listener net.Listener) error {
	defer close(s.acceptDone)
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	listener = &trackingListener{Listener: listener, server: s}
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	return s.Serve(listener)
}

// StopAccepting accepts the connections that are already established, closes the
// listener and waits until the server tracks every accepted connection. Shutdown alone
// may miss a connection that is accepted at the same time: the process would exit while
// it is open, and the caller's connection would break after it has sent a request. The
// kernel refuses later connections, so that their callers know that nothing ran.
func (s *Server) StopAccepting() error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	var err error
	if withDeadline, ok := listener.(deadlineListener); ok {
		s.stopping.Store(true)
		err = withDeadline.SetDeadline(time.Now())
	} else {
		err = listener.Close()
	}
	<-s.acceptDone
	return err
}

// deadlineListener is a listener whose Accept supports a deadline, such as
// *net.TCPListener.
type deadlineListener interface{ SetDeadline(time.Time) error }

const (
	// acceptGrace is the time without new connections after which a stopping server
	// closes the listener.
	acceptGrace = 20 * time.Millisecond
	// maxAcceptGrace is the maximum time that the listener stays open if further
	// connections keep arriving.
	maxAcceptGrace = 200 * time.Millisecond
)

// trackingListener registers each accepted connection with the server.
type trackingListener struct {
	net.Listener
	server *Server
	// closeDeadline is the latest time at which a stopping server closes the
	// listener. It is zero until the server stops.
	closeDeadline time.Time
	// waited is true if acceptGrace has started since the last accepted connection.
	waited bool
}

// Accept implements net.Listener. When the server stops, the kernel's accept queue may
// contain established connections, for milliseconds on a busy machine. Closing the
// listener resets them, although their callers may have sent requests. Therefore the
// listener is closed only after no connection has arrived for acceptGrace.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.server.admit(c) {
			l.server.add(c)
			return c, nil
		}
	}
}

// accept returns the next connection, before it is admitted.
func (l *trackingListener) accept() (*conn, error) {
	accepted, err := l.Listener.Accept()
	for l.server.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if err := l.waitOrClose(); err != nil {
			return nil, err
		}
		accepted, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	l.waited = false
	if tcp, ok := accepted.(*net.TCPConn); ok && l.server.sendBytes > 0 {
		// This fails if the caller has closed the connection meanwhile; reading from it
		// then reports that.
		_ = tcp.SetWriteBuffer(l.server.sendBytes)
	}
	return &conn{Conn: accepted, server: l.server, fresh: true, since: time.Now()}, nil
}

// add registers an accepted connection.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// waitOrClose starts a further wait for connections, or closes the listener.
func (l *trackingListener) waitOrClose() error {
	now := time.Now()
	if l.closeDeadline.IsZero() {
		l.closeDeadline = now.Add(maxAcceptGrace)
	}
	if l.waited || !now.Before(l.closeDeadline) {
		return l.Close()
	}
	l.waited = true
	return l.Listener.(deadlineListener).SetDeadline(now.Add(acceptGrace))
}

// track implements http.Server.ConnState.
func (s *Server) track(netConn net.Conn, state http.ConnState) {
	c := trackedConn(netConn)
	if c == nil {
		return
	}
	c.setState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// trackedConn returns the connection below TLS, or nil if the server doesn't track it.
func trackedConn(netConn net.Conn) *conn {
	if secured, ok := netConn.(*tls.Conn); ok {
		netConn = secured.NetConn()
	}
	c, _ := netConn.(*conn)
	return c
}

// closedPollInterval is how often AwaitClosed checks for open connections.
const closedPollInterval = 10 * time.Millisecond

// AwaitClosed waits until no connection is open, or ctx ends. Meanwhile the node refuses
// new requests and closes their connections with the response. No server can avoid the
// failure of a request that is sent at the moment at which its connection is closed (RFC
// 9112, section 9.5). After this wait, only connections that callers don't use are left
// to be closed.
func (s *Server) AwaitClosed(ctx context.Context) {
	ticker := time.NewTicker(closedPollInterval)
	defer ticker.Stop()
	for s.openConns() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes all idle connections, except new ones whose first request has not
// arrived yet. Requests that have arrived are still served.
func (s *Server) CloseIdle() error {
	final, err := callhttp.FinalRefusal(port.Refuse(port.ReasonStopping, time.Second, "this node is stopping; ask another"))
	if err != nil {
		return err
	}
	var closing sync.WaitGroup
	for _, c := range s.connections() {
		closing.Go(func() { c.closeIfIdle(final) })
	}
	closing.Wait()
	return nil
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

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

	mu sync.Mutex
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
	count, err := c.Conn.Read(p)
	if c.endIfClosing() {
		return 0, errClosed
	}
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
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	// Received data is read and discarded. Closing the connection with unread data
	// would reset it, and the caller could lose the final response.
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
