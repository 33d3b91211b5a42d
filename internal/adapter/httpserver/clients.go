package httpserver

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/port"
)

// Memory that a connection uses, in bytes. The figures of headers are upper estimates of what net/http
// holds for them.
const (
	// connBytes is for a connection: its buffers and its goroutine. It includes a header of up to
	// freeHeaderBytes and freeHeaderLines.
	connBytes = 16 << 10
	// tlsBytes is for TLS, in addition.
	tlsBytes        = 16 << 10
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 64
	// headerByteCost is the memory for each further byte: the buffer in which a line grows and its
	// copies. headerLineCost is that for each further line: an entry of a map with its value.
	headerByteCost = 3
	headerLineCost = 160
)

// retryClients is the Retry-After of a client that was ended for lack of memory or descriptors.
const retryClients = 250 * time.Millisecond

// ClientLimits limits the clients of a server.
type ClientLimits struct {
	// Bytes limits the memory of connections and headers, Conns the number of connections. Zero means
	// no limit.
	Bytes int64
	Conns int
}

// MaxConns returns the most connections without TLS within the limits; 0 means no limit.
func (l ClientLimits) MaxConns() int {
	if l.Bytes == 0 {
		return l.Conns
	}
	within := int(l.Bytes / connBytes)
	if l.Conns == 0 {
		return within
	}
	return min(l.Conns, within)
}

// NewClients returns the clients of a listener in the account of a node's memory.
type NewClients func(limits membudget.ClientLimits) *membudget.Clients

// LimitClients makes the server count what its clients make the node hold, and end some of them when it
// is too much. The function ended is called for each that was ended. It must be called before Run.
func (s *Server) LimitClients(newClients NewClients, limits ClientLimits, ended func()) {
	perConn := int64(connBytes)
	if s.tls != nil {
		perConn += tlsBytes
	}
	s.clients = newClients(membudget.ClientLimits{Bytes: limits.Bytes, Conns: limits.Conns, ConnBytes: perConn})
	s.ended = ended
}

// overloadRefusal returns the final response for a client that is ended.
func overloadRefusal() []byte {
	// The error is impossible: the refusal has no field that can't be encoded.
	final, _ := callhttp.FinalRefusal(port.Refuse(port.ReasonMemory, retryClients, "the node holds too much for its clients"))
	return final
}

// admitTimeout limits how long a connection waits for the end of others. Meanwhile, no other connection is
// accepted.
const admitTimeout = 100 * time.Millisecond

// admit adds a connection. If there is no room, it refuses the connection and returns false.
func (s *Server) admit(c *conn) bool {
	if s.clients == nil {
		return true
	}
	c.client.Owner = c
	admission := s.tryAdmit(c)
	if !admission.Admitted && admission.Retry != nil {
		admission = s.awaitAdmission(c, admission)
	}
	if admission.Admitted {
		return true
	}
	s.ended()
	c.writeFinal(overloadRefusal())
	// The error is ignored: no action could be taken on it.
	_ = c.Conn.Close()
	return false
}

func (s *Server) tryAdmit(c *conn) membudget.Admission {
	admission := s.clients.Admit(&c.client, time.Now())
	s.endClients(admission.End)
	return admission
}

// awaitAdmission waits until connections that are being ended make room.
func (s *Server) awaitAdmission(c *conn, admission membudget.Admission) membudget.Admission {
	timer := time.NewTimer(admitTimeout)
	defer timer.Stop()
	for !admission.Admitted && admission.Retry != nil {
		select {
		case <-admission.Retry:
			admission = s.tryAdmit(c)
		case <-timer.C:
			return admission
		}
	}
	return admission
}

// endClients ends connections that wait for their clients.
func (s *Server) endClients(end []*membudget.Client) {
	for _, client := range end {
		if client.Owner.(*conn).endWaiting() {
			s.ended()
		} else {
			s.clients.Serve(client)
		}
	}
}

// endWaiting makes the goroutine that reads the connection end it with a refusal, at once. It reports
// whether it will: a connection whose request is handled stays.
func (c *conn) endWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.draining:
		// The response is sent, and then the connection is closed.
		_ = c.Conn.SetReadDeadline(time.Now())
		return true
	case c.active:
		return false
	}
	if !c.closing && !c.ended {
		c.close(func() { c.writeFinal(overloadRefusal()) })
	}
	return true
}

// CloseWrite closes the sending side. http.Server calls it before it keeps a connection for half a second,
// so that its client can read the last response. If there are many clients, the connection ends at once.
func (c *conn) CloseWrite() error {
	if c.isCrowded() {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *conn) isCrowded() bool { return c.server.clients != nil && c.server.clients.Crowded() }

// growHeader counts bytes of a header that were read. It reports whether there is room for them.
func (c *conn) growHeader(p []byte) bool {
	clients := c.server.clients
	if clients == nil || c.server.tls != nil {
		// The bytes of TLS are no header. Only nodes with a certificate can send one.
		return true
	}
	c.headerBytes += len(p)
	c.headerLines += bytes.Count(p, []byte{'\n'})
	cost := int64(max(0, c.headerBytes-freeHeaderBytes)*headerByteCost + max(0, c.headerLines-freeHeaderLines)*headerLineCost)
	if cost <= c.headerCost {
		return true
	}
	granted, end := clients.GrowHeader(&c.client, cost-c.headerCost, time.Now())
	c.server.endClients(end)
	if granted {
		c.headerCost = cost
	}
	return granted
}

// returnHeader returns the memory of the header when its request is over.
func (c *conn) returnHeader() {
	c.headerBytes, c.headerLines = 0, 0
	if c.headerCost > 0 {
		c.headerCost = 0
		c.server.clients.ReturnHeader(&c.client)
	}
}

// serve records that a request is handled, or that the connection was hijacked.
func (c *conn) serve(state http.ConnState) {
	switch {
	case c.server.clients == nil:
	case state == http.StateHijacked && c.server.tls != nil:
		// Nodes with a certificate may keep any number of connections for messages.
		c.server.clients.Remove(&c.client)
	default:
		c.server.clients.Serve(&c.client)
	}
}
