package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Harm is what a relay does to the connections that pass it; the zero value does
// nothing.
type LinkFault struct {
	// Delay is added to each piece, in both directions.
	Delay time.Duration
	// HoldForward and HoldBack keep what is sent, by the side that connects and
	// by the other, until the harm ends.
	HoldForward, HoldBack bool
	// Refuse resets new connections.
	ResetNew bool
}

// Relay passes connections from one address to another. It is safe for concurrent
// use.
type Relay struct {
	from, to string

	mu       sync.Mutex
	listener net.Listener
	// refusing says that nobody listens here since nobody does on the far side; closed
	// that the relay has ended.
	refusing, closed bool
	harm             LinkFault
	changed          chan struct{}
	conns            map[net.Conn]struct{}
}

// relayDial bounds the connection to the far side, which is on this machine.
const relayDial = time.Second

// NewRelay starts passing connections on; Close ends it.
func NewRelay(from, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	r := &Relay{from: listener.Addr().String(), listener: listener, to: to, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.serve(listener)
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.from }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	r.mu.Unlock()
	r.Reset()
}

// SetHarm changes what is done to all connections from now on.
func (r *Relay) SetFault(harm LinkFault) {
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

func (r *Relay) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if r.current().ResetNew {
			reset(conn)
			continue
		}
		go r.pass(conn)
	}
}

func (r *Relay) current() LinkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harm
}

// pass connects through and copies both ways.
func (r *Relay) pass(near net.Conn) {
	far, err := net.DialTimeout("tcp", r.to, relayDial)
	if err != nil {
		r.refuseLikeFarSide(err)
		reset(near)
		return
	}
	r.keep(near, far)
	defer r.drop(near, far)
	var copying sync.WaitGroup
	copying.Go(func() { r.copy(far, near, func(h LinkFault) bool { return h.HoldForward }, func() {}) })
	copying.Go(func() { r.copy(near, far, func(h LinkFault) bool { return h.HoldBack }, r.lookAtFarSide) })
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
// Ended is called before the end is passed on.
func (r *Relay) copy(to, from net.Conn, held func(LinkFault) bool, ended func()) {
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
		ended()
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

// lookAtFarSide finds out whether a connection ended because its process did.
func (r *Relay) lookAtFarSide() {
	far, err := net.DialTimeout("tcp", r.to, relayDial)
	if err != nil {
		r.refuseLikeFarSide(err)
		return
	}
	_ = far.Close()
}

// farSidePause is between two looks at a far side on which nobody listens.
const farSidePause = 10 * time.Millisecond

// refuseLikeFarSide stops listening while nobody listens on the far side, so that the near
// one sees the refusal that it would see without a relay.
func (r *Relay) refuseLikeFarSide(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusing || r.closed {
		return
	}
	r.refusing = true
	_ = r.listener.Close()
	go r.listenWithFarSide()
}

func (r *Relay) listenWithFarSide() {
	for {
		time.Sleep(farSidePause)
		far, err := net.DialTimeout("tcp", r.to, relayDial)
		if err == nil {
			_ = far.Close()
		}
		if r.listenAgain(err == nil) {
			return
		}
	}
}

// listenAgain listens if the far side does, and reports whether nothing is left to do.
func (r *Relay) listenAgain(farListens bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !farListens {
		return r.closed
	}
	listener, err := net.Listen("tcp", r.from)
	if err != nil {
		return false
	}
	r.listener, r.refusing = listener, false
	go r.serve(listener)
	return true
}

func (r *Relay) deliver(to net.Conn, piece []byte, held func(LinkFault) bool) bool {
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
