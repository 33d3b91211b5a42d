package peerws

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// Limits of the connections that a node opens.
const (
	// IdleTimeout is how long a connection without messages stays open. In a large fleet a
	// node sends a message to each other domain about once a minute, and a new TLS
	// connection costs as much as thirty messages.
	IdleTimeout = 3 * time.Minute
	// MaxClientConnections is the maximum number of open connections. A node communicates
	// with eight neighbours and one VM of each other failure domain; the rest is reserved
	// for departures and pulls.
	MaxClientConnections = 96
	// pingAfter is the time without a received message after which a connection is pinged.
	pingAfter   = 30 * time.Second
	pingTimeout = 5 * time.Second
)

// Client sends messages to peers. It implements port.Peers with one connection per peer,
// opened on first use.
type Client struct {
	http *http.Client
	now  func() time.Time

	mu    sync.Mutex
	conns map[string]*clientConn
}

var _ port.Peers = (*Client)(nil)

// maxHeaderBytes limits the header of the response that opens a connection.
const maxHeaderBytes = 16 << 10

// NewClient returns a client that authenticates itself with the TLS configuration.
func NewClient(tls *peertls.Config, now func() time.Time) *Client {
	transport := &http.Transport{TLSClientConfig: tls.Client, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{http: &http.Client{Transport: transport}, now: now, conns: map[string]*clientConn{}}
}

// NewCountingClient returns a client that counts the sent and received bytes of its
// connections in port.MetricControlBytes.
func NewCountingClient(tls *peertls.Config, now func() time.Time, meter port.Meter) *Client {
	c := NewClient(tls, now)
	c.http.Transport = &http.Transport{TLSClientConfig: tls.Client, DialContext: dialCounting(meter), MaxResponseHeaderBytes: maxHeaderBytes}
	return c
}

// Send implements port.Peers.
func (c *Client) Send(ctx context.Context, to membership.VM, message port.Message) error {
	cc, err := c.connect(ctx, to.PeerAddress)
	if err != nil {
		return err
	}
	return cc.write(ctx, message, 0)
}

// Request implements port.Peers.
func (c *Client) Request(ctx context.Context, to membership.VM, message port.Message) (port.Message, error) {
	cc, err := c.connect(ctx, to.PeerAddress)
	if err != nil {
		return nil, err
	}
	return cc.request(ctx, message)
}

// CloseIdle closes connections on which no message was sent for IdleTimeout, removes broken
// ones, and pings those on which nothing was received for pingAfter.
func (c *Client) CloseIdle() {
	for _, cc := range c.dropIdle() {
		go cc.ping(context.Background())
	}
}

// dropIdle closes and removes idle and broken connections, and returns the connections to
// ping.
func (c *Client) dropIdle() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var toPing []*clientConn
	for address, cc := range c.conns {
		switch {
		case cc.broken() || c.now().Sub(cc.lastSent()) > IdleTimeout:
			cc.close()
			delete(c.conns, address)
		case c.now().Sub(cc.lastReceived()) > pingAfter:
			toPing = append(toPing, cc)
		}
	}
	return toPing
}

// NumOpen returns the number of open connections.
func (c *Client) NumOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cc := range c.conns {
		cc.close()
		delete(c.conns, address)
	}
}

// connect returns the open connection to an address, or opens one. If two callers dial at the
// same time, the connection that is established later is closed again.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	if cc := c.openConn(address); cc != nil {
		return cc, nil
	}
	conn, response, err := websocket.Dial(ctx, "wss://"+address+Path, &websocket.DialOptions{HTTPClient: c.http})
	if err != nil {
		return nil, errors.Wrap(port.ErrUnreachable, err.Error())
	}
	peer, err := peertls.VMID(response.TLS)
	if err != nil {
		conn.CloseNow()
		return nil, errors.Wrap(port.ErrUnreachable, err.Error())
	}
	conn.SetReadLimit(MaxMessageBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.conns[address]; cc != nil && !cc.broken() {
		conn.CloseNow()
		return cc, nil
	}
	c.evictIdle()
	cc := newClientConn(conn, peer, c.now)
	c.conns[address] = cc
	return cc, nil
}

// evictIdle closes the connection that has been idle longest if MaxClientConnections is
// reached. Connections with pending requests stay open, so that no response is lost. It must
// be called with the mutex held.
func (c *Client) evictIdle() {
	if len(c.conns) < MaxClientConnections {
		return
	}
	var oldest string
	for address, cc := range c.conns {
		if cc.broken() {
			delete(c.conns, address)
			return
		}
		if !cc.hasPending() && (oldest == "" || cc.lastSent().Before(c.conns[oldest].lastSent())) {
			oldest = address
		}
	}
	if oldest != "" {
		c.conns[oldest].close()
		delete(c.conns, oldest)
	}
}

// openConn returns the open connection to an address, or nil.
func (c *Client) openConn(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.conns[address]; cc != nil && !cc.broken() {
		return cc
	}
	return nil
}
