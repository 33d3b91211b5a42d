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

// Path is where peers open their WebSocket.
const Path = "/peer/ws"

// Bounds on what peers can make this node hold or do.
const (
	// maxInFlight bounds the questions of one connection that are answered at
	// a time; the connection is not read further while it is full.
	maxInFlight = 32
	// MaxQuestionBytes bounds what a peer may send unasked. Answers, which
	// carry parts, may be as large as MaxMessageBytes.
	MaxRequestBytes = 256 << 10
	// MaxConnections bounds the peers' connections to one node. Each peer
	// keeps some twenty open, spread over the fleet.
	MaxConnections = 512
	// messageRate and messageBurst bound the messages of one connection; it is
	// read no faster.
	messageRate  = 200
	messageBurst = 400
	// writeTimeout ends a connection whose reader has stopped: its answers
	// would else be held for ever.
	writeTimeout = 10 * time.Second
	// readTimeout ends a connection that carries nothing. The other side closes
	// it after IdleTimeout; if that never came, it is half open.
	readTimeout = 2 * IdleTimeout
)

// Server accepts peers' connections. The TLS listener in front of it has
// already proven that the other side is a peer.
type Server struct {
	handler port.PeerHandler
	open    atomic.Int64
}

// NewServer returns a server that hands messages to handler.
func NewServer(handler port.PeerHandler) *Server { return &Server{handler: handler} }

// ServeHTTP takes over one connection until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, err := peertls.VMID(r.TLS)
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	if s.open.Add(1) > MaxConnections {
		s.open.Add(-1)
		http.Error(w, "too many peer connections", http.StatusServiceUnavailable)
		return
	}
	defer s.open.Add(-1)
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(MaxRequestBytes)
	session := &session{server: s, conn: conn, peer: name, room: make(chan struct{}, maxInFlight)}
	session.serve(r.Context())
}

// session is one peer's connection.
type session struct {
	server  *Server
	conn    *websocket.Conn
	peer    string
	room    chan struct{}
	working sync.WaitGroup
}

func (s *session) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.working.Wait()
	defer cancel()
	pace := rate.NewLimiter(messageRate, messageBurst)
	for pace.Wait(ctx) == nil {
		frame, message, err := s.read(ctx)
		if err != nil {
			return
		}
		select {
		case s.room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		s.working.Go(func() {
			defer func() { <-s.room }()
			s.answer(ctx, frame, message)
		})
	}
}

// read returns the next message, or ends the connection with the reason why not.
func (s *session) read(ctx context.Context) (envelope, port.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, raw, err := s.conn.Read(ctx)
	if err != nil {
		return envelope{}, nil, err
	}
	frame, message, err := decode(raw)
	if err != nil {
		// A peer that sends what can't be read is of another version or
		// broken; the status tells its operator which.
		s.conn.Close(websocket.StatusUnsupportedData, closeReason(err))
		return frame, nil, err
	}
	if err := checkSender(s.peer, message); err != nil {
		s.conn.Close(websocket.StatusPolicyViolation, closeReason(err))
		return frame, nil, err
	}
	return frame, message, nil
}

// maxReasonBytes is what fits the close frame of a WebSocket (RFC 6455).
const maxReasonBytes = 120

func closeReason(err error) string {
	reason := err.Error()
	return reason[:min(len(reason), maxReasonBytes)]
}

func (s *session) answer(ctx context.Context, frame envelope, message port.Message) {
	answer, err := s.server.handler.Handle(ctx, message)
	if frame.Question == 0 || err != nil || answer == nil {
		return
	}
	raw, err := encode(answer, 0, frame.Question)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	// A failed write closes the connection, which ends the loop above.
	_ = s.conn.Write(ctx, websocket.MessageBinary, raw)
}
