// Package requestbody hands a request's body to one attempt after another.
package requestbody

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// KeptBytes is how large a request body may be to be kept in memory, so
// that a refused request can be offered to another target.
const MaxBufferedBytes = 64 << 10

// headBytes is how much of a larger body is read ahead, to tell it from others.
const headBytes = 4 << 10

// ErrRevoked is what an attempt gets that reads a body after it was over.
var ErrRevoked = errors.New("the attempt that read this body is over")

// Body hands a caller's body to one attempt after another. Small bodies
// are kept whole. A large one can be handed on only as long as not a byte of it
// was read: half of it may lie at a target that refused. It is safe for
// concurrent use, as net/http may still read for an attempt that is over.
type Body struct {
	kept   []byte
	stream io.Reader
	// head is the first part of the stream.
	head []byte

	mu      sync.Mutex
	current *bodyReader
	touched bool
}

// Read keeps a small body. The length is negative when it is not known.
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
	return &Body{kept: head}, int64(len(head)), nil
}

// IsKept reports whether any number of attempts can have the whole body.
func (b *Body) IsBuffered() bool { return b.stream == nil }

// Head returns what is known of the body before an attempt: all of a small one, and the first
// bytes of a large one. It must not be changed.
func (b *Body) Head() []byte {
	if b.stream == nil {
		return b.kept
	}
	return b.head[:min(len(b.head), headBytes)]
}

// Reader returns the body for the next attempt and takes it from the last one;
// nil if there is none. Of a large body that was read in part the next attempt
// gets an error and not the rest: its target would take the rest for all.
func (b *Body) Reader() io.Reader {
	if b.stream == nil {
		if len(b.kept) == 0 {
			return nil
		}
		return bytes.NewReader(b.kept)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &bodyReader{body: b}
	if !b.touched {
		b.current = next
	}
	return next
}

// Again reports whether another attempt can have the whole body. After it said
// yes, earlier attempts can read nothing any more.
func (b *Body) Rewind() bool {
	if b.stream == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.touched {
		b.current = nil
	}
	return !b.touched
}

// bodyReader is one attempt's hold on a large body.
type bodyReader struct{ body *Body }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.body.touch(r) {
		return 0, ErrRevoked
	}
	return r.body.stream.Read(p)
}

func (b *Body) touch(by *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != by {
		return false
	}
	b.touched = true
	return true
}
