package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// connection is a caller's keep-alive connection. It replaces the client of
// net/http, which resends a request by itself when a keep-alive connection breaks:
// the soak must know the outcome of each request that it sent.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// peekTimeout is how long open checks whether the other side has closed a connection
// before it is reused.
const peekTimeout = time.Millisecond

// open keeps the current connection, unless the other side has closed it, and opens
// a new one otherwise.
func (c *connection) open() error {
	if c.conn != nil {
		// If the deadline can't be set, the read fails.
		_ = c.conn.SetReadDeadline(time.Now().Add(peekTimeout))
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.close()
		}
	}
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// send writes a request once and reads the complete response.
func (c *connection) send(request *http.Request, timeout time.Duration) (*http.Response, []byte, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	response, content, err := c.exchange(request)
	if err != nil || response.Close {
		c.close()
	}
	return response, content, err
}

func (c *connection) exchange(request *http.Request) (*http.Response, []byte, error) {
	if err := request.Write(c.conn); err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, nil, err
	}
	content, err := io.ReadAll(response.Body)
	return response, content, err
}
