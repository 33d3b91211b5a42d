package callerhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
	entry := &countingEntry{}
	server := NewServer(entry, Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Run(listener) }()
	defer server.Close()
	open := func(text string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
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
	time.Sleep(20 * time.Millisecond)

	timeouts := Timeouts{Header: time.Second, Idle: 10 * time.Second}
	closed, err := server.CloseTimedOut(time.Now().Add(900*time.Millisecond), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 0)
	closed, err = server.CloseTimedOut(time.Now().Add(2*time.Second), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 1)
	refused, err := http.ReadResponse(slow, nil)
	assert.NilError(t, err)
	assert.Equal(t, refused.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, refused.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)

	closed, err = server.CloseTimedOut(time.Now().Add(11*time.Second), timeouts)
	assert.NilError(t, err)
	assert.Equal(t, closed, 1, "the connection that waits for a response must stay open")
	_, err = idle.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	completed, err := http.ReadResponse(busy, nil)
	assert.NilError(t, err)
	assert.Equal(t, completed.StatusCode, http.StatusOK)
	assert.Equal(t, entry.served.Load(), int32(2))
}
