package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// heldWriteConn is a connection whose writes return only once released is closed, although their
// bytes are sent at once. It takes the place of a process that is paused after a system call.
type heldWriteConn struct {
	net.Conn
	released chan struct{}
}

// Write implements net.Conn.
func (c heldWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	<-c.released
	return n, err
}

// Guards against a request that is reported as not sent although the receiver has got it: its
// exchange fails while the first write is still under way.
func TestFailureDuringFirstWriteCountsAsSent(t *testing.T) {
	for _, test := range []struct {
		desc    string
		timeout time.Duration
		respond func(c *net.TCPConn)
	}{
		{"bytes that are no response", time.Minute, func(c *net.TCPConn) { _, _ = io.WriteString(c, "garbage\r\n\r\n") }},
		{"reset", time.Minute, func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
		{"close", time.Minute, func(c *net.TCPConn) { _ = c.Close() }},
		{"deadline", 200 * time.Millisecond, func(*net.TCPConn) {}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			raw, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			accepted, err := listener.Accept()
			assert.NilError(t, err)
			defer accepted.Close()
			received := make(chan error, 1)
			go func() {
				_, err := http.ReadRequest(bufio.NewReader(accepted))
				received <- err
				test.respond(accepted.(*net.TCPConn))
			}()

			p := pool()
			held := heldWriteConn{raw, make(chan struct{})}
			defer close(held.released)
			c := p.newConn(held, listener.Addr().String())
			p.put(c, time.Minute)
			ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
			defer cancel()
			_, err = p.Do(ctx, listener.Addr().String(), &Request{
				Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: "1",
				Body: bytes.NewReader(make([]byte, 2*smallBodyBytes)), ContentLength: 2 * smallBodyBytes,
			})
			assert.NilError(t, <-received, "the receiver got no request")
			var failure *Failure
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Assert(t, failure.Sent, "%v", err)
		})
	}
}
