package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pkg/errors"
)

// Options are the timeouts and limits of a pool.
type Options struct {
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is the maximum time that an idle connection is kept. A shorter
	// timeout announced by the receiver takes precedence.
	IdleTimeout time.Duration
	// AckTimeout is the time after which a connection is closed if the receiver
	// acknowledges neither data nor keep-alive probes.
	AckTimeout time.Duration
	// MaxIdle limits the number of idle connections per address.
	MaxIdle int
	// MaxHeaderBytes limits what is read of a response until the end of its header, with the
	// interim responses (1xx) before it; 0 means no limit.
	MaxHeaderBytes int64
	// PeerClosed is called when an idle connection is found closed by the receiver before
	// its announced timeout; it may be nil.
	PeerClosed func(address string)
}

// Pool holds connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	p := &Pool{options: options, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: options.AckTimeout, Interval: options.AckTimeout, Count: 1,
		},
		Control: p.control,
	}
	return p
}

// control sets a limit on how long written bytes may stay unacknowledged. Without it, a
// network partition that drops packets would delay each request on the connection until
// the request's own deadline.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errors.Wrap(optErr, "TCP_USER_TIMEOUT")
}

// conn is a connection that is used by one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	header  *headerReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// sending is the state of the current request.
	sending sendState
	// writeDeadline is the latest time for its first write; zero means no limit.
	writeDeadline time.Time
	// idleUntil is the time at which an idle connection expires.
	idleUntil time.Time
}

func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	if c := p.takeUsable(address); c != nil {
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return p.newConn(raw, address), nil
}

func (p *Pool) newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, pool: p, address: address}
	writes := &writeTracker{Conn: raw, conn: c}
	c.header = &headerReader{source: connReader{raw, writes}, limit: p.options.MaxHeaderBytes}
	c.reader = bufio.NewReaderSize(c.header, bufferBytes)
	c.writer = bufio.NewWriter(writes)
	return c
}

// ConnectionRefused reports whether an address refuses connections because nothing
// listens on it. It opens no connection if there is a usable idle one.
func (p *Pool) ConnectionRefused(ctx context.Context, address string) bool {
	if c := p.takeUsable(address); c != nil {
		p.put(c, time.Until(c.idleUntil))
		return false
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = raw.Close()
	return false
}

// takeUsable removes a usable idle connection from the pool and returns it, or returns nil
// if there is none. It closes the unusable ones that it finds.
func (p *Pool) takeUsable(address string) *conn {
	for c := p.take(address); c != nil; c = p.take(address) {
		expired := !time.Now().Before(c.idleUntil)
		if !expired && c.usable() {
			return c
		}
		c.close(false)
		if !expired && p.options.PeerClosed != nil {
			p.options.PeerClosed(address)
		}
	}
	return nil
}

// take removes the most recently used idle connection from the pool and returns it, or
// nil. Connections in excess of the usual load therefore stay idle until they expire.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) put(c *conn, idle time.Duration) {
	if idle == 0 || idle > p.options.IdleTimeout {
		idle = p.options.IdleTimeout
	}
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	conns := p.idle[c.address]
	full := len(conns) >= p.options.MaxIdle
	if !full {
		p.idle[c.address] = append(conns, c)
	}
	p.mu.Unlock()
	if full {
		c.close(false)
	}
}

// CloseIdle closes the expired idle connections and removes addresses that have no idle
// connections left.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, conns := range p.idle {
		live := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				live = append(live, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = live
		if len(live) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close(false)
	}
}

// usable reports whether an idle connection is open and has no data to read. If the
// receiver has closed it, or sent data that belongs to no request, no further request
// must be written to it.
func (c *conn) usable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = control.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return err == nil && usable
}

// pastTime is a deadline that makes reads and writes fail immediately.
var pastTime = time.Unix(1, 0)

// abort makes pending and further reads and writes fail.
func (c *conn) abort() {
	// This fails only on a closed connection.
	_ = c.SetDeadline(pastTime)
}

// close closes the connection, with a reset if the receiver should stop running a request.
func (c *conn) close(reset bool) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
		// This fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	// The error is ignored: no action could be taken on it.
	_ = c.Conn.Close()
}
