package callerhttp

import (
	"context"
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
	"tamarackquay/internal/port"
)

// Server is the callers' server with a polite end for idle connections.
//
// A server that closes an idle connection may close it at the moment at which a
// caller sends a request on it. The caller sees its connection die and can't
// know whether its return was filed. CloseIdle therefore answers before it
// closes: a caller that sent nothing drops the connection, and one whose
// request crosses the answer takes it for its own. It says "did not run", which
// is true, since nothing is read from the connection any more.
type Server struct {
	*http.Server

	// served is closed when Run has accepted its last connection.
	served chan struct{}

	// stopping is set when the listener is about to be closed.
	stopping atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// Run serves the listener's connections until StopAccepting or Shutdown. It is
// called once.
func (s *Server) Run(listener net.Listener) error {
	defer close(s.served)
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	return s.Serve(&tracked{Listener: listener, server: s})
}

// StopAccepting takes the callers that have connected, closes the listener and waits
// until every connection that was accepted is known to the server. Shutdown alone
// may overlook one that was accepted at that moment: the process then ends with it
// open, and its caller sees the end of a connection on which it has just sent a
// return. Callers that connect from now on are refused by the kernel and know that
// nothing ran.
func (s *Server) StopAccepting() error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	var err error
	if bounded, ok := listener.(deadliner); ok {
		s.stopping.Store(true)
		err = bounded.SetDeadline(time.Now())
	} else {
		err = listener.Close()
	}
	<-s.served
	return err
}

// deadliner is a listener whose wait for callers can be bounded, as that of TCP.
type deadliner interface{ SetDeadline(time.Time) error }

const (
	// lastCall is for how long nobody must have connected before the listener is
	// closed, and mostLastCalls bounds the time for it where callers go on coming.
	lastCall      = 20 * time.Millisecond
	mostLastCalls = 200 * time.Millisecond
)

type tracked struct {
	net.Listener
	server *Server
	// closeBy is when a stopping server closes the listener at the latest; zero
	// until it stops. Called says that callers were waited for since the last one.
	closeBy time.Time
	called  bool
}

// Accept implements net.Listener. When the server stops, the kernel may hold callers
// that have connected and were not accepted yet, for milliseconds on a busy machine.
// Closing the listener resets their connections, on which they may have sent a
// request by then. So it is closed once nobody has come for a moment.
func (l *tracked) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for l.server.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if err := l.awaitLast(); err != nil {
			return nil, err
		}
		accepted, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	l.called = false
	c := &conn{Conn: accepted, fresh: true, since: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// awaitLast lets Accept wait for callers once more, or closes the listener.
func (l *tracked) awaitLast() error {
	now := time.Now()
	if l.closeBy.IsZero() {
		l.closeBy = now.Add(mostLastCalls)
	}
	if l.called || !now.Before(l.closeBy) {
		return l.Close()
	}
	l.called = true
	return l.Listener.(deadliner).SetDeadline(now.Add(lastCall))
}

// track implements http.Server.ConnState.
func (s *Server) track(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	c.enter(state)
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// awaitPoll is how often AwaitIdle looks.
const awaitPoll = 10 * time.Millisecond

// AwaitIdle waits until no connection is open, or ctx ends. The node refuses
// what still comes, and its answers close their connections. A caller that sends
// on a connection at the very moment at which it is closed can't be helped by
// any server (RFC 9112, section 9.5); leaving the idle ones open for a while
// leaves only those that nobody uses.
func (s *Server) AwaitClosed(ctx context.Context) {
	ticker := time.NewTicker(awaitPoll)
	defer ticker.Stop()
	for s.open() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle ends all connections on which no request has arrived. Requests that
// have arrived go on.
func (s *Server) CloseIdle() error {
	farewell, err := callhttp.FinalRefusal(port.Refuse(port.ReasonStopping, time.Second, "this node is stopping; ask another"))
	if err != nil {
		return err
	}
	var closing sync.WaitGroup
	for _, c := range s.connections() {
		closing.Go(func() { c.end(farewell) })
	}
	closing.Wait()
	return nil
}

// connections returns those that are open now.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// farewellTime is how long the farewell may take to write, and how long the
// caller then has to read it before its late request causes a reset.
const farewellTime = 100 * time.Millisecond

// errEnded is what the server reads from a connection that has ended.
var errEnded = errors.New("the node is stopping")

// conn is a caller's connection that can be ended while it is idle.
type conn struct {
	net.Conn

	mu sync.Mutex
	// fresh says that nothing came yet. A caller that has just connected is
	// about to send its request, and would take an answer that comes before
	// it for a fault of the connection; the request itself is answered.
	fresh bool
	// active says that the server works on a request, unanswered that bytes
	// came since the last answer. Bytes of a request may have been read before
	// the server says that it is active.
	active     bool
	unanswered bool
	ended      bool
	// since is when the connection was opened, when its last answer ended or,
	// after that, when the first byte of a request came.
	since time.Time
}

// NetConn returns the connection underneath.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateIdle {
		c.since = time.Now()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, errEnded
	}
	if count > 0 {
		if !c.unanswered {
			c.since = time.Now()
		}
		c.unanswered = true
		c.fresh = false
	}
	return count, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// end says farewell unless a request has arrived. From the moment on at which
// ended is set, the server gets nothing more to read from the connection.
func (c *conn) end(farewell []byte) {
	c.mu.Lock()
	if c.fresh || c.active || c.unanswered {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.mu.Unlock()
	c.leave(farewell)
}

// leave writes the last answer of a connection from which the server reads
// nothing more, and ends it.
func (c *conn) leave(farewell []byte) {
	deadline := time.Now().Add(farewellTime)
	_ = c.Conn.SetWriteDeadline(deadline)
	if _, err := c.Conn.Write(farewell); err != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	// What still arrives is dropped; closing with it unread would reset the
	// connection and could take the farewell from the caller.
	_ = c.Conn.SetReadDeadline(deadline)
	drop := make([]byte, 4096)
	for {
		if _, err := c.Conn.Read(drop); err != nil {
			return
		}
	}
}
