package exchange

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// closedAtEnd is the body of a request whose handler returns when the last byte is read.
type closedAtEnd struct{ left int }

// Read implements io.Reader.
func (b *closedAtEnd) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errors.New("read after close")
	}
	n := min(len(p), b.left)
	b.left -= n
	if b.left == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Guards against a request whose last bytes are not sent, because its body is closed when it has been
// read completely.
func TestBodyIsSentAlthoughItClosesAtItsEnd(t *testing.T) {
	for _, length := range []int{100, 2 * smallBodyBytes} {
		received := make(chan int64, 1)
		address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
			n, _ := io.Copy(io.Discard, r.Body)
			received <- n
			_, _ = io.WriteString(c, responseText("", ""))
		})
		response, err := pool().Do(t.Context(), address, &Request{
			Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, IDHeader: "Id",
			Body: &closedAtEnd{left: length}, ContentLength: int64(length),
		})
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		select {
		case <-response.BodySent:
		case <-time.After(10 * time.Second):
			t.Fatal("the body is still being sent")
		}
		assert.Equal(t, <-received, int64(length))
	}
}
