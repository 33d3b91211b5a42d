package peerws

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// clientConn is a connection opened by this node, with its pending requests.
type clientConn struct {
	conn *websocket.Conn
	// peer is the VM id in the peer's verified certificate.
	peer string
	now  func() time.Time
	done chan struct{}
	// sentAt and receivedAt are the times of the last sent and the last received message,
	// in Unix nanoseconds.
	sentAt, receivedAt atomic.Int64
	// closed is set before conn is closed. The reader ends a moment later, and a request in
	// between must open a new connection.
	closed atomic.Bool

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan port.Message
}

func newClientConn(conn *websocket.Conn, peer string, now func() time.Time) *clientConn {
	cc := &clientConn{conn: conn, peer: peer, now: now, done: make(chan struct{}), pending: map[uint64]chan port.Message{}}
	cc.sentAt.Store(now().UnixNano())
	cc.receivedAt.Store(now().UnixNano())
	go cc.read()
	return cc
}

// read delivers responses to the pending requests until the connection breaks or the peer
// sends an invalid message.
func (cc *clientConn) read() {
	defer close(cc.done)
	defer cc.conn.CloseNow()
	for {
		_, raw, err := cc.conn.Read(context.Background())
		if err != nil {
			return
		}
		cc.receivedAt.Store(cc.now().UnixNano())
		frame, message, err := decode(raw)
		if err != nil || checkSender(cc.peer, message) != nil {
			return
		}
		if response := cc.takePending(frame.ResponseTo); response != nil {
			response <- message
		}
	}
}

// takePending removes a pending request and returns its response channel, or nil if there is
// no such request.
func (cc *clientConn) takePending(requestID uint64) chan port.Message {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	response := cc.pending[requestID]
	delete(cc.pending, requestID)
	return response
}

func (cc *clientConn) request(ctx context.Context, message port.Message) (port.Message, error) {
	response := make(chan port.Message, 1)
	cc.mu.Lock()
	cc.lastID++
	requestID := cc.lastID
	cc.pending[requestID] = response
	cc.mu.Unlock()
	defer cc.takePending(requestID)
	sentAt := cc.now().UnixNano()
	if err := cc.write(ctx, message, requestID); err != nil {
		return nil, err
	}
	select {
	case reply := <-response:
		return reply, nil
	case <-cc.done:
		return nil, errors.Wrap(port.ErrUnreachable, "connection closed before the response")
	case <-ctx.Done():
		cc.closeIfHalfOpen(sentAt)
		return nil, errors.Wrap(port.ErrUnreachable, ctx.Err().Error())
	}
}

// halfOpenAfter is how long a request must have waited, with nothing received on its
// connection, for the connection to count as half-open. It must be shorter than the timeout
// of a probe and longer than a round trip between regions.
const halfOpenAfter = 400 * time.Millisecond

// closeIfHalfOpen closes the connection if nothing was received on it since a request was
// sent, and that was at least halfOpenAfter ago. A VM that fails without closing its
// connections leaves them half-open: writes still succeed, every request times out, and the
// VM that replaces it at the same address is never reached.
func (cc *clientConn) closeIfHalfOpen(sentAt int64) {
	idle := cc.receivedAt.Load() < sentAt
	if idle && cc.now().UnixNano()-sentAt >= int64(halfOpenAfter) {
		cc.close()
	}
}

func (cc *clientConn) write(ctx context.Context, message port.Message, requestID uint64) error {
	raw, err := encode(message, requestID, 0)
	if err != nil {
		return err
	}
	cc.sentAt.Store(cc.now().UnixNano())
	if err := cc.conn.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return errors.Wrap(port.ErrUnreachable, err.Error())
	}
	return nil
}

// ping closes the connection if the peer doesn't respond to a ping. It detects half-open
// connections on which only messages without response are sent.
func (cc *clientConn) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if cc.conn.Ping(ctx) != nil {
		cc.close()
		return
	}
	cc.receivedAt.Store(cc.now().UnixNano())
}

func (cc *clientConn) lastSent() time.Time { return time.Unix(0, cc.sentAt.Load()) }

func (cc *clientConn) lastReceived() time.Time { return time.Unix(0, cc.receivedAt.Load()) }

// hasPending reports whether requests are waiting for a response.
func (cc *clientConn) hasPending() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.pending) > 0
}

// broken reports whether the connection is closed or its reader has ended.
func (cc *clientConn) broken() bool {
	if cc.closed.Load() {
		return true
	}
	select {
	case <-cc.done:
		return true
	default:
		return false
	}
}

func (cc *clientConn) close() {
	cc.closed.Store(true)
	cc.conn.CloseNow()
}
