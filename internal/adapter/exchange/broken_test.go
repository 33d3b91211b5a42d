package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a part of a response that looks complete, because the write of the request's body got
// the error that tells the reset. A receiver that closes the connection and then resets it has sent all.
func TestResetDuringUploadBreaksResponse(t *testing.T) {
	for _, test := range []struct {
		desc       string
		closeFirst bool
		want       error
	}{
		{"reset", false, syscall.ECONNRESET},
		{"closed, then reset", true, nil},
	} {
		t.Run(test.desc, func(t *testing.T) {
			ended, closed := make(chan struct{}), make(chan struct{})
			address, _ := server(t, func(c net.Conn, _ *http.Request, _ int) {
				tcp := c.(*net.TCPConn)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				if test.closeFirst {
					assert.Check(t, tcp.CloseWrite())
				}
				<-ended
				assert.Check(t, tcp.SetLinger(0))
				assert.Check(t, tcp.Close())
				close(closed)
			})
			body, upload := io.Pipe()
			defer upload.Close()
			go func() { _, _ = upload.Write([]byte("first")) }()
			response, err := pool().Do(context.Background(), address, &Request{
				Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: body, ContentLength: 1 << 20,
			})
			assert.NilError(t, err)
			part := make([]byte, 4)
			_, err = io.ReadFull(response.Body, part)
			assert.NilError(t, err)
			close(ended)
			<-closed
			go func() {
				for err := error(nil); err == nil; {
					_, err = upload.Write(make([]byte, 64<<10))
				}
			}()
			<-response.BodySent
			rest, err := io.ReadAll(response.Body)
			assert.Equal(t, len(rest), 0)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
		})
	}
}
