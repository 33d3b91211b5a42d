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

// connection is a caller's kept connection. net/http's client sends a request
// again by itself when a kept connection breaks; the soak must know what became
// of each one that it sent.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// quietLook is for how long a kept connection is looked at before it is used.
const quietLook = time.Millisecond

// open makes sure of a connection that its other side has not closed.
func (c *connection) open() error {
	if c.conn != nil {
		// A deadline that can't be set shows in the read.
		_ = c.conn.SetReadDeadline(time.Now().Add(quietLook))
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

// send writes a request once and reads its answer whole.
func (c *connection) send(request *http.Request, patience time.Duration) (*http.Response, []byte, error) {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
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
