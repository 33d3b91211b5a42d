package peerws

import (
	"context"
	"net"
	"time"

	"tamarackquay/internal/port"
)

// dialTimeout limits the time to open a TCP connection to a peer.
const dialTimeout = 3 * time.Second

// countedConn counts the bytes of a connection below TLS, so that the count equals the bytes
// that cross the link between two failure domains.
type countedConn struct {
	net.Conn
	meter port.Meter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Count(port.MetricControlBytes, "received", n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Count(port.MetricControlBytes, "sent", n)
	return n, err
}

// dialCounting returns a dial function whose connections count their bytes in the meter.
func dialCounting(meter port.Meter) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, meter: meter}, nil
	}
}
