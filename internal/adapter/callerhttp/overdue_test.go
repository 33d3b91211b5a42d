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

// One caller sends half of its headers and stops, one leaves its connection open
// after an answer, one waits for a slow answer. When the first two have kept the
// node waiting longer than they may, the first is told that nothing ran, the
// second is closed, and the third gets its answer.
func TestCallersThatKeepTheNodeWaitingAreEnded(t *testing.T) {
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
	answer, err := http.ReadResponse(idle, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	_, dribbling := open(request[:20])
	_, busy := open(request)
	time.Sleep(20 * time.Millisecond)

	waits := Timeouts{Header: time.Second, Idle: 10 * time.Second}
	ended, err := server.CloseTimedOut(time.Now().Add(900*time.Millisecond), waits)
	assert.NilError(t, err)
	assert.Equal(t, ended, 0)
	ended, err = server.CloseTimedOut(time.Now().Add(2*time.Second), waits)
	assert.NilError(t, err)
	assert.Equal(t, ended, 1)
	told, err := http.ReadResponse(dribbling, nil)
	assert.NilError(t, err)
	assert.Equal(t, told.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, told.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)

	ended, err = server.CloseTimedOut(time.Now().Add(11*time.Second), waits)
	assert.NilError(t, err)
	assert.Equal(t, ended, 1, "the busy one is not overdue")
	_, err = idle.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	whole, err := http.ReadResponse(busy, nil)
	assert.NilError(t, err)
	assert.Equal(t, whole.StatusCode, http.StatusOK)
	assert.Equal(t, entry.served.Load(), int32(2))
}
