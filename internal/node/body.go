package node

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// keptBodyBytes is how large a request body may be to be kept in memory, so
// that a refused request can be offered to another target.
const keptBodyBytes = 64 << 10

// errRevoked is what an attempt gets that reads a body after it was over.
var errRevoked = errors.New("the attempt that read this body is over")

// requestBody hands a caller's body to one attempt after another. Small bodies
// are kept whole. A large one can be handed on only as long as not a byte of it
// was read: half of it may lie at a target that refused. It is safe for
// concurrent use, as net/http may still read for an attempt that is over.
type requestBody struct {
	kept   []byte
	stream io.Reader

	mu      sync.Mutex
	current *bodyReader
	touched bool
}

// readBody keeps a small body. The length is negative when it is not known.
func readBody(body io.Reader, length int64) (*requestBody, int64, error) {
	if body == nil || length == 0 {
		return &requestBody{}, 0, nil
	}
	if length > keptBodyBytes {
		return &requestBody{stream: body}, length, nil
	}
	head, err := io.ReadAll(io.LimitReader(body, keptBodyBytes+1))
	if err != nil {
		return nil, 0, errors.Wrap(err, "body")
	}
	if len(head) > keptBodyBytes {
		return &requestBody{stream: io.MultiReader(bytes.NewReader(head), body)}, length, nil
	}
	return &requestBody{kept: head}, int64(len(head)), nil
}

// isKept reports whether any number of attempts can have the whole body.
func (b *requestBody) isKept() bool { return b.stream == nil }

// reader returns the body for the next attempt and takes it from the last one;
// nil if there is none. Of a large body that was read in part the next attempt
// gets an error and not the rest: its target would take the rest for all.
func (b *requestBody) reader() io.Reader {
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

// again reports whether another attempt can have the whole body. After it said
// yes, earlier attempts can read nothing any more.
func (b *requestBody) again() bool {
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
type bodyReader struct{ body *requestBody }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.body.touch(r) {
		return 0, errRevoked
	}
	return r.body.stream.Read(p)
}

func (b *requestBody) touch(by *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != by {
		return false
	}
	b.touched = true
	return true
}
