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

// Bounds of the connections that a node opens.
const (
	// IdleTimeout is how long a connection without messages is kept. In a
	// large fleet a node talks to each other domain about once a minute, and a
	// new TLS connection costs as much as thirty messages.
	IdleTimeout = 3 * time.Minute
	// MaxLinks is how many are open at a time. A node talks to eight
	// neighbours and one VM of each other failure domain; the rest is room for
	// departures and pulls.
	MaxClientConnections = 96
	// pingAfter is the silence after which a link is tried.
	pingAfter   = 30 * time.Second
	pingTimeout = 5 * time.Second
)

// Client implements port.Peers with one connection per peer, opened on first
// use.
type Client struct {
	http *http.Client
	now  func() time.Time

	mu    sync.Mutex
	links map[string]*link
}

var _ port.Peers = (*Client)(nil)

// NewClient returns a client that proves itself with the TLS configuration.
func NewClient(tls *peertls.Config, now func() time.Time) *Client {
	transport := &http.Transport{TLSClientConfig: tls.Client}
	return &Client{http: &http.Client{Transport: transport}, now: now, links: map[string]*link{}}
}

// NewCountingClient returns a client whose connections' bytes the meter counts,
// both ways, as port.MetricControlBytes.
func NewCountingClient(tls *peertls.Config, now func() time.Time, meter port.Meter) *Client {
	c := NewClient(tls, now)
	c.http.Transport = &http.Transport{TLSClientConfig: tls.Client, DialContext: dialCounted(meter)}
	return c
}

// Send implements port.Peers.
func (c *Client) Send(ctx context.Context, to membership.VM, message port.Message) error {
	l, err := c.link(ctx, to.PeerAddress)
	if err != nil {
		return err
	}
	return l.write(ctx, message, 0)
}

// Ask implements port.Peers.
func (c *Client) Request(ctx context.Context, to membership.VM, message port.Message) (port.Message, error) {
	l, err := c.link(ctx, to.PeerAddress)
	if err != nil {
		return nil, err
	}
	return l.ask(ctx, message)
}

// CloseIdle closes connections that carried nothing for IdleTimeout, forgets
// those that broke, and tries those from which nothing came for long.
func (c *Client) CloseIdle() {
	for _, l := range c.dropIdle() {
		go l.ping(context.Background())
	}
}

// dropIdle returns the links that should be tried.
func (c *Client) dropIdle() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	var silent []*link
	for address, l := range c.links {
		switch {
		case l.broken() || c.now().Sub(l.lastUsed()) > IdleTimeout:
			l.close()
			delete(c.links, address)
		case c.now().Sub(l.lastHeard()) > pingAfter:
			silent = append(silent, l)
		}
	}
	return silent
}

// Open returns how many connections are open.
func (c *Client) NumOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		l.close()
		delete(c.links, address)
	}
}

// link returns the open connection to address or opens one. Two callers may
// dial at once; the later one's connection is dropped again.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	if l := c.open(address); l != nil {
		return l, nil
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
	if l := c.links[address]; l != nil && !l.broken() {
		conn.CloseNow()
		return l, nil
	}
	c.makeRoom()
	l := newLink(conn, peer, c.now)
	c.links[address] = l
	return l, nil
}

// makeRoom closes the link that was idle longest when there are too many; the
// caller holds mu. Links with open questions stay, so that no answer is cut.
func (c *Client) makeRoom() {
	if len(c.links) < MaxClientConnections {
		return
	}
	var oldest string
	for address, l := range c.links {
		if l.broken() {
			delete(c.links, address)
			return
		}
		if !l.busy() && (oldest == "" || l.lastUsed().Before(c.links[oldest].lastUsed())) {
			oldest = address
		}
	}
	if oldest != "" {
		c.links[oldest].close()
		delete(c.links, oldest)
	}
}

func (c *Client) open(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil && !l.broken() {
		return l
	}
	return nil
}
