package peerws

import (
	"context"
	"net"
	"time"

	"tamarackquay/internal/port"
)

// dialTimeout bounds the opening of a TCP connection to a peer.
const dialTimeout = 3 * time.Second

// countedConn counts the bytes of a connection below TLS, so that the figure is
// what the link between two failure domains carries.
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

// dialCounted returns a dialer whose connections the meter counts.
func dialCounted(meter port.Meter) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, meter: meter}, nil
	}
}
