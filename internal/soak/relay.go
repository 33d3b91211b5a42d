package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a relay does to the connections that pass it; the zero value does
// nothing.
type Harm struct {
	// Delay is added to each piece, in both directions.
	Delay time.Duration
	// HoldForward and HoldBack keep what is sent, by the side that connects and
	// by the other, until the harm ends.
	HoldForward, HoldBack bool
	// Refuse resets new connections.
	Refuse bool
}

// Relay passes connections from one address to another. It is safe for concurrent
// use.
type Relay struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	harm    Harm
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// relayDial bounds the connection to the far side, which is on this machine.
const relayDial = time.Second

// NewRelay starts passing connections on; Close ends it.
func NewRelay(from, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, to: to, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.serve()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset()
}

// SetHarm changes what is done to all connections from now on.
func (r *Relay) SetHarm(harm Harm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harm = harm
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// reset closes a connection so that its other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.current().Refuse {
			reset(conn)
			continue
		}
		go r.pass(conn)
	}
}

func (r *Relay) current() Harm {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harm
}

// pass connects through and copies both ways. A far side that refuses is shown to
// the near one as a reset, the nearest thing to a refusal that a relay can do.
func (r *Relay) pass(near net.Conn) {
	far, err := net.DialTimeout("tcp", r.to, relayDial)
	if err != nil {
		reset(near)
		return
	}
	r.keep(near, far)
	defer r.drop(near, far)
	var copying sync.WaitGroup
	copying.Go(func() { r.copy(far, near, func(h Harm) bool { return h.HoldForward }) })
	copying.Go(func() { r.copy(near, far, func(h Harm) bool { return h.HoldBack }) })
	copying.Wait()
}

func (r *Relay) keep(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
}

func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}

// copy passes one direction on. An orderly end is passed on as one; a reset as a
// reset, so that a cut answer can't look whole.
func (r *Relay) copy(to, from net.Conn, held func(Harm) bool) {
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 && !r.deliver(to, piece[:n], held) {
			reset(from)
			return
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		reset(to)
		return
	}
}

func (r *Relay) deliver(to net.Conn, piece []byte, held func(Harm) bool) bool {
	r.mu.Lock()
	for held(r.harm) {
		changed := r.changed
		r.mu.Unlock()
		<-changed
		r.mu.Lock()
	}
	delay := r.harm.Delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(piece)
	return err == nil
}
