package peerws

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// IdleTimeout is how long a connection without messages is kept.
const IdleTimeout = time.Minute

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

// Send implements port.Peers.
func (c *Client) Send(ctx context.Context, to membership.VM, message port.Message) error {
	l, err := c.link(ctx, to.PeerAddress)
	if err != nil {
		return err
	}
	return l.write(ctx, message, 0)
}

// Ask implements port.Peers.
func (c *Client) Ask(ctx context.Context, to membership.VM, message port.Message) (port.Message, error) {
	l, err := c.link(ctx, to.PeerAddress)
	if err != nil {
		return nil, err
	}
	return l.ask(ctx, message)
}

// CloseIdle closes connections that carried nothing for IdleTimeout, and
// forgets those that broke.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if l.broken() || c.now().Sub(l.lastUsed()) > IdleTimeout {
			l.close()
			delete(c.links, address)
		}
	}
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
	conn, _, err := websocket.Dial(ctx, "wss://"+address+Path, &websocket.DialOptions{HTTPClient: c.http})
	if err != nil {
		return nil, errors.Wrap(port.ErrUnreachable, err.Error())
	}
	conn.SetReadLimit(MaxMessageBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil && !l.broken() {
		conn.CloseNow()
		return l, nil
	}
	l := newLink(conn, c.now)
	c.links[address] = l
	return l, nil
}

func (c *Client) open(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil && !l.broken() {
		return l
	}
	return nil
}

// link is one connection with the questions that wait for answers on it.
type link struct {
	conn *websocket.Conn
	now  func() time.Time
	done chan struct{}
	used atomic.Int64

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan port.Message
}

func newLink(conn *websocket.Conn, now func() time.Time) *link {
	l := &link{conn: conn, now: now, done: make(chan struct{}), waiting: map[uint64]chan port.Message{}}
	l.used.Store(now().UnixNano())
	go l.read()
	return l
}

// read hands answers to those who wait for them. It ends, and with it the
// link, when the connection breaks.
func (l *link) read() {
	defer close(l.done)
	defer l.conn.CloseNow()
	for {
		_, raw, err := l.conn.Read(context.Background())
		if err != nil {
			return
		}
		frame, message, err := decode(raw)
		if err != nil {
			return
		}
		if answer := l.take(frame.Answer); answer != nil {
			answer <- message
		}
	}
}

func (l *link) take(question uint64) chan port.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.waiting[question]
	delete(l.waiting, question)
	return answer
}

func (l *link) ask(ctx context.Context, message port.Message) (port.Message, error) {
	answer := make(chan port.Message, 1)
	l.mu.Lock()
	l.next++
	question := l.next
	l.waiting[question] = answer
	l.mu.Unlock()
	defer l.take(question)
	if err := l.write(ctx, message, question); err != nil {
		return nil, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.done:
		return nil, errors.Wrap(port.ErrUnreachable, "connection closed before the answer")
	case <-ctx.Done():
		return nil, errors.Wrap(port.ErrUnreachable, ctx.Err().Error())
	}
}

func (l *link) write(ctx context.Context, message port.Message, question uint64) error {
	raw, err := encode(message, question, 0)
	if err != nil {
		return err
	}
	l.used.Store(l.now().UnixNano())
	if err := l.conn.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return errors.Wrap(port.ErrUnreachable, err.Error())
	}
	return nil
}

func (l *link) lastUsed() time.Time { return time.Unix(0, l.used.Load()) }

func (l *link) broken() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *link) close() { l.conn.CloseNow() }
