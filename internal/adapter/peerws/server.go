package peerws

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/time/rate"

	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/port"
)

// Path is the URL path at which peers open their WebSocket.
const Path = "/peer/ws"

// Limits of the memory and work that peers can cause at this node.
const (
	// maxInFlight limits the messages of one connection that are handled concurrently. At
	// the limit, the connection is not read.
	maxInFlight = 32
	// MaxRequestBytes limits the size of messages that are not responses. Responses, which
	// may contain parts, are limited by MaxMessageBytes.
	MaxRequestBytes = 256 << 10
	// MaxConnections limits the connections of peers to one node. Each peer keeps about
	// twenty connections open, spread over the fleet.
	MaxConnections = 512
	// messageRate, in messages a second, and messageBurst limit the rate at which one
	// connection is read.
	messageRate  = 200
	messageBurst = 400
	// writeTimeout ends a connection whose peer has stopped reading. Otherwise, the
	// responses to it would stay in memory forever.
	writeTimeout = 10 * time.Second
	// readTimeout ends a connection on which nothing is received. The peer closes an idle
	// connection after IdleTimeout; if it did not, the connection is half-open.
	readTimeout = 2 * IdleTimeout
)

// Server accepts connections of peers. The TLS listener in front of it has already verified
// that the client is a peer.
type Server struct {
	handler port.PeerHandler
	numOpen atomic.Int64
}

// NewServer returns a server that passes messages to a handler.
func NewServer(handler port.PeerHandler) *Server { return &Server{handler: handler} }

// ServeHTTP implements http.Handler. It serves one connection until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, err := peertls.VMID(r.TLS)
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	if s.numOpen.Add(1) > MaxConnections {
		s.numOpen.Add(-1)
		http.Error(w, "too many peer connections", http.StatusServiceUnavailable)
		return
	}
	defer s.numOpen.Add(-1)
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(MaxRequestBytes)
	session := &session{server: s, conn: conn, peer: name, slots: make(chan struct{}, maxInFlight)}
	session.serve(r.Context())
}

// session is one connection of a peer.
type session struct {
	server   *Server
	conn     *websocket.Conn
	peer     string
	slots    chan struct{}
	handlers sync.WaitGroup
}

func (s *session) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.handlers.Wait()
	defer cancel()
	limiter := rate.NewLimiter(messageRate, messageBurst)
	for limiter.Wait(ctx) == nil {
		frame, message, err := s.read(ctx)
		if err != nil {
			return
		}
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		s.handlers.Go(func() {
			defer func() { <-s.slots }()
			s.respond(ctx, frame, message)
		})
	}
}

// read returns the next message. It closes the connection with a reason if the message is
// invalid.
func (s *session) read(ctx context.Context) (envelope, port.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, raw, err := s.conn.Read(ctx)
	if err != nil {
		return envelope{}, nil, err
	}
	frame, message, err := decode(raw)
	if err != nil {
		// The peer is broken or has another version; the close reason shows its
		// operator which.
		s.conn.Close(websocket.StatusUnsupportedData, closeReason(err))
		return frame, nil, err
	}
	if err := checkSender(s.peer, message); err != nil {
		s.conn.Close(websocket.StatusPolicyViolation, closeReason(err))
		return frame, nil, err
	}
	return frame, message, nil
}

// maxReasonBytes is the length to which close reasons are truncated: a close frame of a
// WebSocket has room for 123 bytes (RFC 6455).
const maxReasonBytes = 120

func closeReason(err error) string {
	reason := err.Error()
	return reason[:min(len(reason), maxReasonBytes)]
}

// respond handles a message and sends the response if one is expected.
func (s *session) respond(ctx context.Context, frame envelope, message port.Message) {
	response, err := s.server.handler.Handle(ctx, message)
	if frame.RequestID == 0 || err != nil || response == nil {
		return
	}
	raw, err := encode(response, 0, frame.RequestID)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	// A failed write closes the connection, which ends the loop in serve.
	_ = s.conn.Write(ctx, websocket.MessageBinary, raw)
}
