package exchange

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/responsehead"
)

var (
	// ErrHeaderTooLarge is the cause of a failure if the header of a response, or what came in
	// place of one, is over Options.MaxHeaderBytes.
	ErrHeaderTooLarge = errors.New("the header of the response is too large")
	// ErrNoMemory is the cause of a failure if Request.Reserve granted no memory for the header.
	ErrNoMemory = errors.New("no memory for the header of the response")
)

// IsHeaderRejected reports whether a request failed because the header of its response was refused.
func IsHeaderRejected(err error) bool {
	for _, cause := range []error{ErrHeaderTooLarge, ErrNoMemory, responsehead.ErrStatusLine, responsehead.ErrField, responsehead.ErrCoding} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// headerReader limits and checks what is read from a connection while a header is expected. net/http
// reads the header of a response without a limit, and a receiver that sends other bytes in its place
// would fill the memory.
type headerReader struct {
	source io.Reader
	// scanner checks the header that is expected.
	scanner responsehead.Scanner
	// limit is the most bytes of a header; 0 means no limit.
	limit int64
	// reserve is Request.Reserve; it may be nil.
	reserve func(bytes int64) bool
	// expecting is true while a header is expected, of which read bytes have been read.
	expecting bool
	read      int64
	// granted is up to how many bytes may be read without a further reservation.
	granted int64
	// err is set once the header can't be read any further.
	err error
}

// bufferBytes is the size of a connection's buffer. It is allocated anyway.
const bufferBytes = 4 << 10

// expect begins a header, of which the buffer may hold the first bytes already.
func (r *headerReader) expect(reserve func(bytes int64) bool, buffer *bufio.Reader) {
	r.reserve, r.expecting, r.read, r.granted, r.err = reserve, true, 0, bufferBytes, nil
	r.scanner.Reset()
	// The error is impossible: all these bytes are in the buffer.
	buffered, _ := buffer.Peek(buffer.Buffered())
	r.err = r.scanner.Scan(buffered)
}

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if !r.expecting {
		return r.source.Read(p)
	}
	if r.limit > 0 {
		p = r.limited(p)
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.read += int64(n)
	if r.err = r.scanner.Scan(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// limited returns the part of p that may be read of a header, or sets the error.
func (r *headerReader) limited(p []byte) []byte {
	if r.err == nil && r.read >= r.limit {
		r.err = ErrHeaderTooLarge
	}
	p = p[:max(0, min(int64(len(p)), r.limit-r.read))]
	if r.err == nil && !r.grant(r.read+int64(len(p))) {
		r.err = ErrNoMemory
	}
	return p
}

// grant reserves memory for a header up to a size in bytes.
func (r *headerReader) grant(size int64) bool {
	missing := size - r.granted
	if missing <= 0 {
		return true
	}
	if r.reserve != nil && !r.reserve(missing) {
		return false
	}
	r.granted = size
	return true
}
