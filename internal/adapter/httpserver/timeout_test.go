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

// Guards against connections that stay open after a timeout, and against closing those
// that wait for a response. One caller sends half of its headers, one keeps its connection
// open after a response, and one waits for a slow response. After their timeouts the first
// gets a refusal and the second is closed; the third gets its response.
func TestSlowAndIdleConnectionsAreClosed(t *testing.T) {
	entry := &holdingEntry{release: make(chan struct{})}
	server := New(http.HandlerFunc(entry.ServeCaller), 2<<10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Run(listener) }()
	defer server.Close()
	open := func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		_, err = io.WriteString(conn, text)
		assert.NilError(t, err)
		return conn, bufio.NewReader(conn)
	}
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, idle := open(request)
	response, err := http.ReadResponse(idle, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	_, slow := open(request[:20])
	_, busy := open(request)
	idleSince, headerSince := awaitStates(t, server)

	// All times are relative to the moments that the server recorded, so that a pause of
	// the process changes nothing. The idle timeout is far longer than any pause.
	timeouts := Timeouts{Header: time.Second, Idle: time.Hour}
	closed, err := server.CloseTimedOut(headerSince.Add(timeouts.Header), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 0)
	closed, err = server.CloseTimedOut(headerSince.Add(timeouts.Header+1), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 1)
	refused, err := http.ReadResponse(slow, nil)
	assert.NilError(t, err)
	assert.Equal(t, refused.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, refused.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)

	closed, err = server.CloseTimedOut(idleSince.Add(timeouts.Idle), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 0)
	closed, err = server.CloseTimedOut(idleSince.Add(timeouts.Idle+1), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 1, "the connection that waits for a response must stay open")
	_, err = idle.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	close(entry.release)
	completed, err := http.ReadResponse(busy, nil)
	assert.NilError(t, err)
	assert.Equal(t, completed.StatusCode, http.StatusOK)
	assert.Equal(t, entry.served.Load(), int32(2))
}

// holdingEntry answers the first request at once and all others after release is closed.
type holdingEntry struct {
	served  atomic.Int32
	release chan struct{}
}

func (e *holdingEntry) ServeCaller(w http.ResponseWriter, _ *http.Request) {
	if e.served.Add(1) > 1 {
		<-e.release
	}
	_, _ = io.WriteString(w, "whole")
}

// awaitStates waits until one connection of the server is idle after a response, one has sent a
// part of its headers and one waits for a response. It returns since when the first two wait.
func awaitStates(t *testing.T, server *Server) (idleSince, headerSince time.Time) {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		active := 0
		idleSince, headerSince = time.Time{}, time.Time{}
		for _, c := range server.connections() {
			c.mu.Lock()
			switch {
			case c.active:
				active++
			case c.requestPending:
				headerSince = c.since
			case !c.fresh:
				idleSince = c.since
			}
			c.mu.Unlock()
		}
		if active == 1 && !idleSince.IsZero() && !headerSince.IsZero() {
			return idleSince, headerSince
		}
	}
	t.Fatal("the connections didn't reach their states")
	return
}
