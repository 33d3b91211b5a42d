package peerws

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"tamarackquay/internal/port"
)

// Path is where peers open their WebSocket.
const Path = "/peer/ws"

// maxInFlight bounds the questions of one connection that are answered at a
// time; the connection is not read further while it is full.
const maxInFlight = 32

// Server accepts peers' connections. The TLS listener in front of it has
// already proven that the other side is a peer.
type Server struct {
	handler port.PeerHandler
}

// NewServer returns a server that hands messages to handler.
func NewServer(handler port.PeerHandler) *Server { return &Server{handler: handler} }

// ServeHTTP takes over one connection until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(MaxMessageBytes)
	s.serve(r.Context(), conn)
}

func (s *Server) serve(ctx context.Context, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var working sync.WaitGroup
	defer working.Wait()
	room := make(chan struct{}, maxInFlight)
	for {
		_, raw, err := conn.Read(ctx)
		if err != nil {
			return
		}
		frame, message, err := decode(raw)
		if err != nil {
			// A peer that sends what can't be read is of another version or
			// broken; the status tells its operator which.
			conn.Close(websocket.StatusUnsupportedData, err.Error())
			return
		}
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		working.Go(func() {
			defer func() { <-room }()
			s.answer(ctx, conn, frame, message)
		})
	}
}

func (s *Server) answer(ctx context.Context, conn *websocket.Conn, frame envelope, message port.Message) {
	answer, err := s.handler.Handle(ctx, message)
	if frame.Question == 0 || err != nil || answer == nil {
		return
	}
	raw, err := encode(answer, 0, frame.Question)
	if err != nil {
		return
	}
	// A failed write shows as a failed read on the same connection, which
	// ends the loop above.
	_ = conn.Write(ctx, websocket.MessageBinary, raw)
}
