// Package requestbody provides a request's body to successive attempts.
package requestbody

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// MaxBufferedBytes is the size up to which a request body is buffered in memory, so that
// a refused request can be sent to another target.
const MaxBufferedBytes = 64 << 10

// headBytes is how many bytes of a larger body are read ahead, to distinguish it from
// other bodies.
const headBytes = 4 << 10

// ErrRevoked is returned to an attempt that reads the body after the attempt has ended.
var ErrRevoked = errors.New("the attempt that read this body is over")

// Body provides a caller's body to successive attempts. Small bodies are buffered
// completely. A large body can be passed to another attempt only while none of it has
// been read: otherwise a part of it may already be at the target that refused. Body is
// safe for concurrent use, since net/http may still read for an attempt that has ended.
type Body struct {
	buffered []byte
	stream   io.Reader
	// head is the first part of the stream.
	head []byte

	mu       sync.Mutex
	current  *bodyReader
	consumed bool
	// ended is true once a read has returned the end of the stream or an error.
	ended bool
}

// Stream returns a body of which nothing is read ahead. It can be passed to one attempt.
func Stream(body io.Reader) *Body { return &Body{stream: body} }

// Read reads a small body completely and the beginning of a large one. The length is
// negative if unknown. It returns the body and its length, which is known for every small
// body.
func Read(body io.Reader, length int64) (*Body, int64, error) {
	if body == nil || length == 0 {
		return &Body{}, 0, nil
	}
	ahead := int64(MaxBufferedBytes + 1)
	if length > MaxBufferedBytes {
		ahead = headBytes
	}
	head, err := io.ReadAll(io.LimitReader(body, ahead))
	if err != nil {
		return nil, 0, errors.Wrap(err, "body")
	}
	if length > MaxBufferedBytes || len(head) > MaxBufferedBytes {
		return &Body{stream: io.MultiReader(bytes.NewReader(head), body), head: head}, length, nil
	}
	return &Body{buffered: head}, int64(len(head)), nil
}

// HeldBytes returns how many bytes Read holds at most for a body of the given length, which
// is negative if unknown.
func HeldBytes(length int64) int64 {
	switch {
	case length > MaxBufferedBytes:
		return headBytes
	case length < 0:
		return MaxBufferedBytes + 1
	}
	return length
}

// Held returns how many bytes the body holds.
func (b *Body) Held() int64 { return int64(len(b.buffered) + len(b.head)) }

// IsBuffered reports whether any number of attempts can read the whole body.
func (b *Body) IsBuffered() bool { return b.stream == nil }

// Head returns the part of the body that is available before an attempt: all of a small
// body, and the first bytes of a large one. It must not be modified.
func (b *Body) Head() []byte {
	if b.stream == nil {
		return b.buffered
	}
	return b.head[:min(len(b.head), headBytes)]
}

// Reader returns the body for the next attempt, or nil if there is no body. For a large
// body, the reader of the previous attempt is revoked. If that has begun to read, the new
// reader returns ErrRevoked as well, instead of the rest, which the target would take for
// the whole body.
func (b *Body) Reader() io.Reader {
	if b.stream == nil {
		if len(b.buffered) == 0 {
			return nil
		}
		return bytes.NewReader(b.buffered)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &bodyReader{body: b}
	b.current = next
	if b.consumed {
		b.current = nil
	}
	return next
}

// Rewind reports whether another attempt can read the whole body. Earlier attempts can't read
// a large body any more.
func (b *Body) Rewind() bool {
	if b.stream == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return !b.consumed
}

// IsUnread reports whether a part of the body is unread. The last attempt may go on reading it, and
// nothing else may read the stream then, until that attempt has reached its end.
func (b *Body) IsUnread() bool {
	if b.stream == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

// bodyReader reads a large body for one attempt.
type bodyReader struct{ body *Body }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.body.consume(r) {
		return 0, ErrRevoked
	}
	n, err := r.body.stream.Read(p)
	if err != nil {
		r.body.end()
	}
	return n, err
}

func (b *Body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *Body) consume(by *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != by {
		return false
	}
	b.consumed = true
	return true
}
