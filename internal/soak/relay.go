package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// LinkFault is a fault that a relay injects into its connections. The zero value
// injects nothing.
type LinkFault struct {
	// Delay is added to each chunk of data, in both directions.
	Delay time.Duration
	// HoldForward holds back the data of the client, HoldBack that of the server,
	// until the fault ends.
	HoldForward, HoldBack bool
	// ResetNew resets new connections.
	ResetNew bool
}

// Relay is a TCP proxy from one address to another. It is safe for concurrent use.
type Relay struct {
	listenAddress, serverAddress string

	mu       sync.Mutex
	listener net.Listener
	// refusing is set while the relay doesn't listen because the server doesn't.
	// closed is set when the relay has been closed.
	refusing, closed bool
	fault            LinkFault
	faultChanged     chan struct{}
	conns            map[net.Conn]struct{}
}

// relayDialTimeout bounds connecting to the server, which is on this machine.
const relayDialTimeout = time.Second

// NewRelay starts a relay. The caller must close it.
func NewRelay(listenAddress, serverAddress string) (*Relay, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	r := &Relay{listenAddress: listener.Addr().String(), listener: listener, serverAddress: serverAddress, faultChanged: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.serve(listener)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listenAddress }

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	r.mu.Unlock()
	r.Reset()
}

// SetFault replaces the fault that is injected into all connections, open ones too.
func (r *Relay) SetFault(fault LinkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
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
		if r.currentFault().ResetNew {
			reset(conn)
			continue
		}
		go r.handle(conn)
	}
}

func (r *Relay) currentFault() LinkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// handle connects to the server and copies data in both directions.
func (r *Relay) handle(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.serverAddress, relayDialTimeout)
	if err != nil {
		r.stopListening(err)
		reset(client)
		return
	}
	r.track(client, server)
	defer r.closeConns(client, server)
	var copying sync.WaitGroup
	copying.Go(func() { r.copy(server, client, func(fault LinkFault) bool { return fault.HoldForward }, func() {}) })
	copying.Go(func() { r.copy(client, server, func(fault LinkFault) bool { return fault.HoldBack }, r.checkServer) })
	copying.Wait()
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
}

func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}

// copy forwards one direction. It forwards an orderly close as one and a reset as a
// reset, so that a truncated response can't look complete.
// It calls beforeEnd before it forwards the end of the connection.
func (r *Relay) copy(to, from net.Conn, isHeld func(LinkFault) bool, beforeEnd func()) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.write(to, buffer[:n], isHeld) {
			reset(from)
			return
		}
		if err == nil {
			continue
		}
		beforeEnd()
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

// checkServer stops the relay from listening if the server doesn't listen any more.
// It is called when a connection ends, which may be because the process ended.
func (r *Relay) checkServer() {
	server, err := net.DialTimeout("tcp", r.serverAddress, relayDialTimeout)
	if err != nil {
		r.stopListening(err)
		return
	}
	_ = server.Close()
}

// serverPollInterval is the time between two attempts to reach a server that doesn't
// listen.
const serverPollInterval = 10 * time.Millisecond

// stopListening stops listening while the server doesn't listen, so that clients are
// refused as they would be without a relay. It does nothing unless err is a refused
// connection.
func (r *Relay) stopListening(err error) {
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
	go r.awaitServer()
}

func (r *Relay) awaitServer() {
	for {
		time.Sleep(serverPollInterval)
		server, err := net.DialTimeout("tcp", r.serverAddress, relayDialTimeout)
		if err == nil {
			_ = server.Close()
		}
		if r.listenIfServerUp(err == nil) {
			return
		}
	}
}

// listenIfServerUp listens again if the server does. It reports whether the caller
// can stop polling.
func (r *Relay) listenIfServerUp(serverUp bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !serverUp {
		return r.closed
	}
	listener, err := net.Listen("tcp", r.listenAddress)
	if err != nil {
		return false
	}
	r.listener, r.refusing = listener, false
	go r.serve(listener)
	return true
}

func (r *Relay) write(to net.Conn, data []byte, isHeld func(LinkFault) bool) bool {
	r.mu.Lock()
	for isHeld(r.fault) {
		faultChanged := r.faultChanged
		r.mu.Unlock()
		<-faultChanged
		r.mu.Lock()
	}
	delay := r.fault.Delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(data)
	return err == nil
}
