package callerhttp

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

type countingEntry struct{ served atomic.Int32 }

func (e *countingEntry) ServeCaller(w http.ResponseWriter, _ *http.Request) {
	e.served.Add(1)
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(w, "whole")
}

// A caller sends a request on an idle connection at the moment at which the
// stopping node ends it. It is told that the request did not run, and it did
// not; a request that came just before is answered whole, and so is the first
// one of a connection that was opened before the end.
func TestRequestThatCrossesTheEnd(t *testing.T) {
	entry := &countingEntry{}
	server := NewServer(entry, Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10})
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
	ask := func(conn net.Conn) {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
	}
	answer := func(reader *bufio.Reader) *http.Response {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response
	}
	fresh, freshReader := open()
	used, usedReader := open()
	ask(used)
	answer(usedReader)
	busy, busyReader := open()
	ask(busy)
	time.Sleep(20 * time.Millisecond)

	assert.NilError(t, server.StopAccepting())
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.Assert(t, err != nil, "a listener that is closed takes no caller")

	ended := make(chan error)
	go func() { ended <- server.CloseIdle() }()
	time.Sleep(farewellTime / 4)
	for _, conn := range []net.Conn{fresh, used} {
		// The write may meet a connection that is closed already.
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	}
	assert.NilError(t, <-ended)
	refused := answer(usedReader)
	assert.Equal(t, refused.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)
	assert.Assert(t, refused.Close)
	assert.Equal(t, answer(freshReader).StatusCode, http.StatusOK)
	assert.Equal(t, answer(busyReader).StatusCode, http.StatusOK)
	assert.Equal(t, entry.served.Load(), int32(3))
}

// busyListener stands for a process that gets no processor time: it accepts nobody
// until it is released.
type busyListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l busyListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Callers have connected and sent a request, and the kernel holds them for a busy
// node that is told to stop just then. Each gets its answer: closing the listener at
// once would reset them, and they could not know whether their request ran.
func TestStopTakesTheCallersThatHaveConnected(t *testing.T) {
	entry := &countingEntry{}
	server := NewServer(entry, Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	busy := busyListener{listener.(*net.TCPListener), make(chan struct{})}
	go func() { _ = server.Run(busy) }()
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
	stopped := make(chan error)
	go func() { stopped <- server.StopAccepting() }()
	time.Sleep(2 * lastCall)
	close(busy.released)
	assert.NilError(t, <-stopped)
	for _, conn := range conns {
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, entry.served.Load(), int32(callers))
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.Assert(t, err != nil, "a listener that is closed takes no caller")
}
