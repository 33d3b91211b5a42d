package platformhttp

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a value of the platform whose header is not valid, and whose end may therefore be another
// than the platform gave it.
func TestInvalidHeaderFailsRead(t *testing.T) {
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
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length : 2\r\n\r\nokok")
			_ = conn.Close()
		}
	}()
	_, err = New("http://"+listener.Addr().String(), 5*time.Second, 5*time.Second).Manifest(t.Context())
	assert.ErrorContains(t, err, "header line that is not valid")
}
