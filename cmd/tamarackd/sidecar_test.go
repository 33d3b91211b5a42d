package main

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a feed that is opened by a response whose header is not valid.
func TestFeedTransportChecksHeaders(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nX Y: z\r\n\r\n")
			_ = conn.Close()
		}
	}()
	client := &http.Client{Transport: feedTransport(), Timeout: 5 * time.Second}
	response, err := client.Get("http://" + listener.Addr().String())
	if err == nil {
		_ = response.Body.Close()
	}
	assert.ErrorContains(t, err, "header line that is not valid")
}
