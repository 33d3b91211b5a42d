package node

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
)

// copyBufferBytes is the size of the buffers for copying bodies.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// keepBody is to be called before a response is written. If a request's body is still being
// sent on, nothing else may read it. If none of it has been sent, the response doesn't wait until
// the caller has sent it all.
func keepBody(w http.ResponseWriter, body *requestbody.Body) {
	if body.IsUnread() {
		callhttp.KeepBody(w)
	}
}

// writeResponse writes a response to the caller or to the entry node. If its
// body breaks, the connection is aborted: with a clean end of stream, half an
// archive would look complete.
func writeResponse(w http.ResponseWriter, method string, response *port.Response, timeout time.Duration) {
	header := w.Header()
	callhttp.CopyHeader(header, response.Header)
	if response.ContentLength >= 0 && hasBody(method, response.Status) {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	control := http.NewResponseController(w)
	// The deadline also bounds the flush after the last write; the next
	// response on the connection sets its own.
	_ = control.SetWriteDeadline(time.Now().Add(timeout))
	w.WriteHeader(response.Status)
	if err := copyBody(w, control, response, timeout); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// hasBody reports whether the response has a body, so that the length of the
// received body is its Content-Length. Responses to HEAD and with statuses
// without a body may give the length of content that is not sent.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody copies the body as it arrives. Each write must finish within the
// stall timeout, otherwise a caller that stops reading would hold a slot
// forever.
func copyBody(w http.ResponseWriter, control *http.ResponseController, response *port.Response, timeout time.Duration) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var written int64
	for {
		count, err := response.Body.Read(buffer[:])
		if count > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(timeout))
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
			written += int64(count)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if count < len(buffer) && written != response.ContentLength {
			if flushErr := control.Flush(); flushErr != nil {
				return flushErr
			}
		}
	}
}

// errStalled is the error of a body that stopped arriving.
var errStalled = errors.New("no byte received within the stall timeout")

// stallReader closes a body if no byte arrives within the timeout. Time between
// two calls of Read doesn't count.
type stallReader struct {
	io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
	stalled atomic.Bool
}

func newStallReader(body io.ReadCloser, timeout time.Duration) *stallReader {
	r := &stallReader{ReadCloser: body, timeout: timeout}
	r.timer = time.AfterFunc(timeout, r.onStall)
	r.timer.Stop()
	return r
}

func (r *stallReader) onStall() {
	r.stalled.Store(true)
	// The pending read of the body returns an error.
	_ = r.ReadCloser.Close()
}

// Read implements io.Reader.
func (r *stallReader) Read(p []byte) (int, error) {
	r.timer.Reset(r.timeout)
	count, err := r.ReadCloser.Read(p)
	r.timer.Stop()
	if r.stalled.Load() && err != nil {
		err = errStalled
	}
	return count, err
}

// Close implements io.Closer.
func (r *stallReader) Close() error {
	r.timer.Stop()
	return r.ReadCloser.Close()
}
