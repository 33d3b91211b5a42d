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

// link is one connection with the questions that wait for answers on it.
type link struct {
	conn *websocket.Conn
	// peer is the VM id that the other side has proven.
	peer string
	now  func() time.Time
	done chan struct{}
	// used and heard are when a message was last sent and received, in
	// nanoseconds since 1970.
	used, heard atomic.Int64
	// closed is set before the connection is: its reader takes a moment to end,
	// and a question in that moment must open a new link.
	closed atomic.Bool

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan port.Message
}

func newLink(conn *websocket.Conn, peer string, now func() time.Time) *link {
	l := &link{conn: conn, peer: peer, now: now, done: make(chan struct{}), waiting: map[uint64]chan port.Message{}}
	l.used.Store(now().UnixNano())
	l.heard.Store(now().UnixNano())
	go l.read()
	return l
}

// read hands answers to those who wait for them. It ends, and with it the
// link, when the connection breaks.
func (l *link) read() {
	defer close(l.done)
	defer l.conn.CloseNow()
	for {
		_, raw, err := l.conn.Read(context.Background())
		if err != nil {
			return
		}
		l.heard.Store(l.now().UnixNano())
		frame, message, err := decode(raw)
		if err != nil || checkSender(l.peer, message) != nil {
			return
		}
		if answer := l.take(frame.Answer); answer != nil {
			answer <- message
		}
	}
}

func (l *link) take(question uint64) chan port.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.waiting[question]
	delete(l.waiting, question)
	return answer
}

func (l *link) ask(ctx context.Context, message port.Message) (port.Message, error) {
	answer := make(chan port.Message, 1)
	l.mu.Lock()
	l.next++
	question := l.next
	l.waiting[question] = answer
	l.mu.Unlock()
	defer l.take(question)
	asked := l.now().UnixNano()
	if err := l.write(ctx, message, question); err != nil {
		return nil, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.done:
		return nil, errors.Wrap(port.ErrUnreachable, "connection closed before the answer")
	case <-ctx.Done():
		l.suspect(asked)
		return nil, errors.Wrap(port.ErrUnreachable, ctx.Err().Error())
	}
}

// halfOpenAfter is how long a link may be silent after a question. It lies below
// the timeout of a probe and above a round trip between regions.
const halfOpenAfter = 400 * time.Millisecond

// suspect closes a link on which nothing came since a question was asked on it.
// A VM that vanished without closing its connections leaves them half open:
// writes go on to succeed, every question runs into its timeout, and the VM's
// successor at the same address is never met.
func (l *link) suspect(asked int64) {
	silent := l.heard.Load() < asked
	if silent && l.now().UnixNano()-asked >= int64(halfOpenAfter) {
		l.close()
	}
}

func (l *link) write(ctx context.Context, message port.Message, question uint64) error {
	raw, err := encode(message, question, 0)
	if err != nil {
		return err
	}
	l.used.Store(l.now().UnixNano())
	if err := l.conn.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return errors.Wrap(port.ErrUnreachable, err.Error())
	}
	return nil
}

// ping closes the link if the other side gives no sign of life. Links that only
// carry messages without answers would else not be seen to be half open.
func (l *link) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if l.conn.Ping(ctx) != nil {
		l.close()
		return
	}
	l.heard.Store(l.now().UnixNano())
}

func (l *link) lastUsed() time.Time { return time.Unix(0, l.used.Load()) }

func (l *link) lastHeard() time.Time { return time.Unix(0, l.heard.Load()) }

// busy reports whether questions wait for answers.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

func (l *link) broken() bool {
	if l.closed.Load() {
		return true
	}
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.closed.Store(true)
	l.conn.CloseNow()
}
