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
)

// copyBufferBytes is the size of the buffers that bodies pass through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// passAnswer writes an answer through. If its body breaks, the connection is
// cut: a clean end of stream would pass half an archive off as whole.
func passAnswer(w http.ResponseWriter, method string, answer *port.Response, stall time.Duration) {
	header := w.Header()
	callhttp.CopyHeader(header, answer.Header)
	if answer.ContentLength >= 0 && hasBody(method, answer.Status) {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	control := http.NewResponseController(w)
	// The deadline also bounds what is flushed after the last write; the next
	// answer on the connection sets its own.
	_ = control.SetWriteDeadline(time.Now().Add(stall))
	w.WriteHeader(answer.Status)
	if err := copyBody(w, control, answer, stall); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// hasBody reports whether the length of what was received is the length of the
// answer. It is not for HEAD and for statuses without a body, whose header may
// tell the length of something that is not sent.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody passes the body on as it comes. Each write must make progress within
// the stall time, or a caller that stops reading would hold a slot for ever.
func copyBody(w http.ResponseWriter, control *http.ResponseController, answer *port.Response, stall time.Duration) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var passed int64
	for {
		count, err := answer.Body.Read(buffer[:])
		if count > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(stall))
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
			passed += int64(count)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if count < len(buffer) && passed != answer.ContentLength {
			if flushErr := control.Flush(); flushErr != nil {
				return flushErr
			}
		}
	}
}

// errStalled is the error of a body that stopped coming.
var errStalled = errors.New("no byte within the stall time")

// stallReader ends a body when no byte arrives for the stall time. Time that
// the reader of the body takes between reads doesn't count.
type stallReader struct {
	io.ReadCloser
	stall   time.Duration
	timer   *time.Timer
	stalled atomic.Bool
}

func newStallReader(body io.ReadCloser, stall time.Duration) *stallReader {
	r := &stallReader{ReadCloser: body, stall: stall}
	r.timer = time.AfterFunc(stall, r.end)
	r.timer.Stop()
	return r
}

func (r *stallReader) end() {
	r.stalled.Store(true)
	// The read that waits on the body returns with an error.
	_ = r.ReadCloser.Close()
}

// Read implements io.Reader.
func (r *stallReader) Read(p []byte) (int, error) {
	r.timer.Reset(r.stall)
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
