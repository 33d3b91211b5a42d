package exchange

import (
	"io"

	"github.com/pkg/errors"
)

var (
	// ErrHeaderTooLarge is the cause of a failure if the header of a response, or what came in
	// place of one, is over Options.MaxHeaderBytes.
	ErrHeaderTooLarge = errors.New("the header of the response is too large")
	// ErrNoMemory is the cause of a failure if Request.Reserve granted no memory for the header.
	ErrNoMemory = errors.New("no memory for the header of the response")
)

// headerReader limits what is read from a connection while a header is expected. net/http reads
// the header of a response without a limit, and a receiver that sends other bytes in its place
// would fill the memory.
type headerReader struct {
	source io.Reader
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

// expect begins a header.
func (r *headerReader) expect(reserve func(bytes int64) bool) {
	r.reserve, r.expecting, r.read, r.granted, r.err = reserve, true, 0, bufferBytes, nil
}

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if !r.expecting || r.limit == 0 {
		return r.source.Read(p)
	}
	if r.err == nil && r.read >= r.limit {
		r.err = ErrHeaderTooLarge
	}
	p = p[:max(0, min(int64(len(p)), r.limit-r.read))]
	if r.err == nil && !r.grant(r.read+int64(len(p))) {
		r.err = ErrNoMemory
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.read += int64(n)
	return n, err
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
