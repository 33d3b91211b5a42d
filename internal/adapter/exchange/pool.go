package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pkg/errors"
)

// Options are the times of a pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept without use where the other
	// side doesn't say how long it keeps it.
	IdleTimeout time.Duration
	// SilenceTimeout ends a connection whose other side acknowledges nothing
	// for so long.
	AckTimeout time.Duration
	// MaxIdle bounds the kept connections to one address.
	MaxIdle int
}

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
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

// control bounds how long written bytes may stay unacknowledged. A partition
// that drops packets without a reset would otherwise hold each request on the
// connection until its own deadline.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errors.Wrap(failed, "TCP_USER_TIMEOUT")
}

// conn is one connection, held by one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// wrote says that the current request's first byte went out.
	wrote atomic.Bool
	// writeBy is when that byte must have gone out; zero for no bound.
	writeBy time.Time
	// until is when an idle connection is given up.
	until time.Time
}

// Opened is how many connections the pool has opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	if c := p.takeQuiet(address); c != nil {
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, address: address, reader: bufio.NewReader(raw)}
	c.writer = bufio.NewWriter(writeTracker{raw, c})
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return c, nil
}

// Refused reports whether nobody listens at an address. No connection is opened while an
// idle one is sound.
func (p *Pool) ConnectionRefused(ctx context.Context, address string) bool {
	if c := p.takeQuiet(address); c != nil {
		p.put(c, time.Until(c.until))
		return false
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = raw.Close()
	return false
}

// takeQuiet returns an idle connection that may be used, or nil.
func (p *Pool) takeQuiet(address string) *conn {
	for c := p.take(address); c != nil; c = p.take(address) {
		if time.Now().Before(c.until) && c.quiet() {
			return c
		}
		c.close(false)
	}
	return nil
}

// take returns the connection used last, so that those beyond the usual need
// grow old and are closed.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

func (p *Pool) put(c *conn, idle time.Duration) {
	if idle == 0 || idle > p.options.IdleTimeout {
		idle = p.options.IdleTimeout
	}
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	kept := p.idle[c.address]
	full := len(kept) >= p.options.MaxIdle
	if !full {
		p.idle[c.address] = append(kept, c)
	}
	p.mu.Unlock()
	if full {
		c.close(false)
	}
}

// CloseIdle closes connections that nobody used for their time, and forgets
// addresses without any.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.Before(c.until) {
				live = append(live, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = live
		if len(live) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close(false)
	}
}

// Forget closes the idle connections to an address, whose other side is gone.
func (p *Pool) CloseAddress(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		c.close(false)
	}
}

// quiet reports whether an idle connection is open with nothing to read. The
// other side may have closed it, or sent bytes that answer nothing; either way
// the next request must not be written to it.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// longAgo makes reads and writes end at once.
var longAgo = time.Unix(1, 0)

func (c *conn) abort() {
	// It fails only on a closed connection.
	_ = c.SetDeadline(longAgo)
}

// close ends the connection, with a reset where the other side is to stop
// working on a request.
func (c *conn) close(reset bool) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
		// It fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	// The error of a close tells nothing that could be acted on.
	_ = c.Conn.Close()
}
