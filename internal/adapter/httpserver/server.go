// Package httpserver is the HTTP server of all listeners of a node. It closes connections without losing
// requests, and limits what clients make the node hold.
package httpserver

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

const (
	// readHeaderTimeout closes connections whose callers send headers too slowly.
	readHeaderTimeout = 10 * time.Second
	// queryIdleTimeout is longer than the usual time between two queries of metrics.
	queryIdleTimeout = 2 * time.Minute
)

// New returns a server for a handler that reads headers up to a size in bytes.
func New(handler http.Handler, headerBytes int) *Server {
	s := &Server{acceptDone: make(chan struct{}), conns: map[*conn]struct{}{}}
	s.Server = &http.Server{
		Handler:           s.refuseInvalid(drainBodies(handler)),
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		// Without this, net/http itself would answer "OPTIONS *" with success.
		DisableGeneralOptionsHandler: true,
		ConnContext:                  connContext,
		ConnState:                    s.track,
	}
	return s
}

// NewQuery returns a server like New for requests without bodies, such as those for readiness and metrics.
func NewQuery(handler http.Handler, headerBytes int) *Server {
	s := New(handler, headerBytes)
	s.ReadTimeout = readHeaderTimeout
	s.IdleTimeout = queryIdleTimeout
	return s
}

// NewTLS returns a server like New for clients that TLS authenticates.
func NewTLS(handler http.Handler, headerBytes int, config *tls.Config) *Server {
	s := New(handler, headerBytes)
	s.tls = config
	return s
}

// Server is an HTTP server. It closes idle connections gracefully.
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

	// Invalid is called with the refusal of a request whose end is not certain; it may be nil. It must be
	// set before Run.
	Invalid func(r *http.Request, refusal *port.Refusal)

	// SendBytes is the size of each connection's send buffer; 0 leaves it to the kernel. It must be set
	// before Run.
	SendBytes int

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
	if tcp, ok := accepted.(*net.TCPConn); ok && l.server.SendBytes > 0 {
		// This fails if the caller has closed the connection meanwhile; reading from it
		// then reports that.
		_ = tcp.SetWriteBuffer(l.server.SendBytes)
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
