package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is answered 408 and served: its header is complete when its time is
// over, but http.Server doesn't handle the request yet.
func TestRequestReadInTimeIsNotRefused(t *testing.T) {
	for _, test := range []struct {
		desc, head, body string
	}{
		{"no body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", ""},
		{"body that comes later", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n", "body"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			bodies := make(chan string, 1)
			server := New(http.HandlerFunc(readingEntry(bodies).ServeCaller), 2<<10)
			timeouts := Timeouts{Header: 3 * time.Second, Idle: time.Minute}
			track := server.ConnState
			server.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateActive {
					_, err := server.CloseTimedOut(time.Now().Add(timeouts.Header+time.Second), timeouts)
					assert.Check(t, err)
				}
				track(c, state)
			}
			caller := runAndDial(t, server)
			_, err := io.WriteString(caller, test.head)
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(caller, test.body)
			assert.NilError(t, err)
			reader := bufio.NewReader(caller)
			assert.Equal(t, readStatus(t, reader), http.StatusOK)
			assert.Equal(t, <-bodies, test.body)
			assert.NilError(t, caller.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "a second response")
		})
	}
}

// runAndDial runs a server until the test ends, and returns a caller's connection to it.
func runAndDial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Run(listener) }()
	t.Cleanup(func() { server.Close() })
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { caller.Close() })
	assert.NilError(t, caller.SetDeadline(time.Now().Add(time.Minute)))
	return caller
}

// readStatus reads a complete response.
func readStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// readingEntry reads the body of each request.
type readingEntry chan<- string

func (e readingEntry) ServeCaller(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e <- err.Error()
		return
	}
	e <- string(body)
	_, _ = io.WriteString(w, "whole")
}

// Guards against a request that is answered 503 and served: http.Server has read it together with the
// one before, and the node closes its idle connections between the two.
func TestPipelinedRequestIsNotRefused(t *testing.T) {
	bodies := make(chan string, 2)
	server := New(http.HandlerFunc(readingEntry(bodies).ServeCaller), 2<<10)
	track := server.ConnState
	var closeOnce sync.Once
	closeDone := make(chan error, 1)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		if state == http.StateIdle {
			closeOnce.Do(func() {
				go func() { closeDone <- server.CloseIdle() }()
				awaitConns(t, server, func(c *conn) bool { return c.closing }, 1)
			})
		}
	}
	caller := runAndDial(t, server)
	const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
	_, err := io.WriteString(caller, request+"1"+request+"2")
	assert.NilError(t, err)
	reader := bufio.NewReader(caller)
	for _, body := range []string{"1", "2"} {
		assert.Equal(t, readStatus(t, reader), http.StatusOK)
		assert.Equal(t, <-bodies, body)
	}
	assert.NilError(t, <-closeDone)
}
