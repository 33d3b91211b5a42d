package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
)

// countingEntry answers each request. If release is set, it waits until that is closed
// before it answers any request but the first.
type countingEntry struct {
	served  atomic.Int32
	release chan struct{}
}

func (e *countingEntry) ServeCaller(w http.ResponseWriter, _ *http.Request) {
	if e.served.Add(1) > 1 && e.release != nil {
		<-e.release
	}
	_, _ = io.WriteString(w, "whole")
}

// Guards against requests that are lost or wrongly reported when a stopping node closes
// idle connections. A request that is sent on an idle connection while the node closes it
// gets the response that it did not run, and does not run. A request that arrived just
// before gets its complete response, and so does the first request on a connection that
// was opened before the close.
func TestIdleCloseLosesNoRequests(t *testing.T) {
	entry := &countingEntry{release: make(chan struct{})}
	server := New(http.HandlerFunc(entry.ServeCaller), 2<<10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Run(listener) }()
	defer server.Close()
	open := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		return conn, bufio.NewReader(conn)
	}
	sendRequest := func(conn net.Conn) {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
	}
	readResponse := func(reader *bufio.Reader) *http.Response {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response
	}
	fresh, freshReader := open()
	used, usedReader := open()
	sendRequest(used)
	readResponse(usedReader)
	busy, busyReader := open()
	sendRequest(busy)
	awaitConns(t, server, func(c *conn) bool { return c.fresh }, 1)
	awaitConns(t, server, func(c *conn) bool { return c.active }, 1)
	awaitConns(t, server, func(c *conn) bool { return !c.fresh && !c.active && !c.requestPending }, 1)

	assert.NilError(t, server.StopAccepting())
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.Assert(t, err != nil, "the closed listener accepted a connection")

	closeDone := make(chan error)
	go func() { closeDone <- server.CloseIdle() }()
	awaitConns(t, server, func(c *conn) bool { return c.closing }, 1)
	for _, conn := range []net.Conn{fresh, used} {
		// The write may fail because the connection is already closed.
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	}
	assert.NilError(t, <-closeDone)
	close(entry.release)
	refused := readResponse(usedReader)
	assert.Equal(t, refused.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)
	assert.Assert(t, refused.Close)
	assert.Equal(t, readResponse(freshReader).StatusCode, http.StatusOK)
	assert.Equal(t, readResponse(busyReader).StatusCode, http.StatusOK)
	assert.Equal(t, entry.served.Load(), int32(3))
}

// awaitConns waits until the number of the server's connections in a state is as wanted.
func awaitConns(t *testing.T, server *Server, state func(c *conn) bool, want int) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		got := 0
		for _, c := range server.connections() {
			c.mu.Lock()
			if state(c) {
				got++
			}
			c.mu.Unlock()
		}
		if got == want {
			return
		}
	}
	t.Fatalf("no %d connections reached the state", want)
}

// awaitRun waits until Run has begun; StopAccepting does nothing before.
func awaitRun(t *testing.T, server *Server) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		server.mu.Lock()
		running := server.listener != nil
		server.mu.Unlock()
		if running {
			return
		}
	}
	t.Fatal("the server doesn't run")
}

// blockedListener simulates a process that gets no CPU time: it accepts no connection
// until released is closed.
type blockedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l blockedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Guards against resetting established connections that a stopping node has not accepted
// yet. Callers have connected and sent requests to a busy node when it is stopped. If the
// listener were closed immediately, their connections would be reset, and they could not
// know whether the requests ran. Each must get a response.
func TestStopServesUnacceptedConnections(t *testing.T) {
	entry := &countingEntry{}
	server := New(http.HandlerFunc(entry.ServeCaller), 2<<10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	blocked := blockedListener{listener.(*net.TCPListener), make(chan struct{})}
	go func() { _ = server.Run(blocked) }()
	defer server.Close()
	const callers = 5
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	awaitRun(t, server)
	stopped := make(chan error)
	go func() { stopped <- server.StopAccepting() }()
	time.Sleep(2 * acceptGrace)
	close(blocked.released)
	assert.NilError(t, <-stopped)
	for _, conn := range conns {
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, entry.served.Load(), int32(callers))
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.Assert(t, err != nil, "the closed listener accepted a connection")
}
