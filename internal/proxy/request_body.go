package proxy

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
)

// readBody reads the body of a caller's request, or the beginning of a large one, until a deadline, which also
// holds for the rest of a large one. The error is a refusal if the body doesn't come in time, or if its caller sends so slowly that its memory is needed
// for others.
func readBody(w http.ResponseWriter, r *http.Request, hold *memoryHold, deadline time.Time) (*requestbody.Body, int64, error) {
	if r.ContentLength == 0 {
		return requestbody.Read(r.Body, 0)
	}
	control := http.NewResponseController(w)
	// Connections support deadlines; the response recorders of tests don't.
	_ = control.SetReadDeadline(deadline)
	hold.startReceiving(w)
	body, length, err := requestbody.Read(&receivedBody{r.Body, hold}, r.ContentLength)
	if ended := hold.endReceiving(); ended || errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays, so that net/http doesn't wait for the rest of the body.
		callhttp.KeepBody(w)
		if ended {
			return nil, 0, port.Refuse(port.ReasonMemory, retryMemory, "the body came too slowly, and its memory was needed for others")
		}
		return nil, 0, port.Refuse(port.ReasonDeadline, 0, "the body did not arrive before the deadline")
	}
	if err != nil {
		// No byte has been sent to a target.
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, 0, port.Refuse(port.ReasonBodyTooLarge, 0, "the body is over %d bytes", tooLarge.Limit)
		}
		return nil, 0, port.Refuse(port.ReasonBadRequest, 0, "%v", err)
	}
	if body.IsBuffered() {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, length, nil
}

// receivedBody records the progress of a body that is being received.
type receivedBody struct {
	io.Reader
	hold *memoryHold
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.hold.received()
	return n, err
}
