package callhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// Stages of an outcome that is unknown.
const (
	stageAnswer   = "answer"
	stageDeadline = "deadline"
)

// retryUnreachable is told when the other side could not be reached.
const retryUnreachable = time.Second

var errFirstByte = errors.New("no answer before the deadline")

// RoundTrip sends the call to the base URL with extra headers and returns the
// response, whose body must be closed. The transport must open its connections
// with Guard and speak HTTP/1.1.
//
// The call's deadline bounds the wait for the response's header; its body may
// take longer. The error is a *port.Refusal if no byte was written, and a
// *port.Unknown otherwise.
func RoundTrip(ctx context.Context, transport http.RoundTripper, base string, call *port.Call, extra http.Header) (*http.Response, error) {
	sender := ctx
	try := &attempt{deadline: call.Deadline, gone: func() bool { return senderGone(sender) }}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(call.Deadline), func() { cancel(errFirstByte) })
	request, err := newRequest(httptrace.WithClientTrace(ctx, try.trace()), base, call, extra)
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, port.Refuse(port.ReasonBadRequest, 0, "%v", err)
	}
	response, err := transport.RoundTrip(request)
	timer.Stop()
	if err == nil {
		try.finish()
		response.Body = &answerBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	late := context.Cause(ctx) == errFirstByte
	cancel(nil)
	return nil, try.outcome(err, late)
}

// trace gives each connection that net/http picks for the request to the
// attempt. Connections that are not guarded can't be had from our transports.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.hold(a)
		}
	}}
}

// outcome tells what a failed attempt proves.
func (a *attempt) outcome(err error, pastDeadline bool) error {
	wrote, late := a.end()
	switch {
	case wrote && pastDeadline:
		return &port.UnknownOutcome{Stage: stageDeadline, Cause: errFirstByte}
	case wrote:
		return &port.UnknownOutcome{Stage: stageAnswer, Cause: err}
	case late || pastDeadline:
		return port.Refuse(port.ReasonDeadline, retryUnreachable, "the deadline passed, or the caller was gone, before the request was sent")
	}
	return port.Refuse(port.ReasonUnreachable, retryUnreachable, "%v", err)
}

// answerBody ends the request's context with the body.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.cancel(nil)
	return b.ReadCloser.Close()
}

// sentBody keeps net/http from closing what the caller of RoundTrip owns.
type sentBody struct{ io.Reader }

func (sentBody) Close() error { return nil }

func newRequest(ctx context.Context, base string, call *port.Call, extra http.Header) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	CopyHeader(request.Header, call.Header)
	for name, values := range extra {
		request.Header[name] = values
	}
	if call.Body != nil && call.ContentLength != 0 {
		request.Body = sentBody{call.Body}
		request.ContentLength = call.ContentLength
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil
	}
	return request, nil
}
