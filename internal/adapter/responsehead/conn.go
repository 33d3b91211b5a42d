package responsehead

import (
	"context"
	"net"
	"sync/atomic"
)

// Dialer opens connections, as http.Transport.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Check returns a dialer whose connections fail to read a response with an invalid head. It is for
// requests without a body, each of which is written at once.
func Check(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: raw}, nil
	}
}

// checkedConn checks the head of the first response after each write.
type checkedConn struct {
	net.Conn
	// requested is true if a request was written since the last read.
	requested atomic.Bool
	// scanner is used by the reader only.
	scanner Scanner
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.requested.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.requested.Swap(false) && c.scanner.state != upgraded {
		c.scanner.Reset()
	}
	if invalid := c.scanner.Scan(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
