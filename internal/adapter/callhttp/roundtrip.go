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

// The stages of an unknown outcome.
const (
	stageResponse = "answer"
	stageDeadline = "deadline"
)

// retryUnreachable is the Retry-After of a request that could not be sent.
const retryUnreachable = time.Second

var (
	errNoResponse     = errors.New("no answer before the deadline")
	errProtocolChange = errors.New("the answer changes the protocol, which no request asks for")
)

// RoundTrip sends the call to the base URL with extra headers and returns the response,
// whose body must be closed. The transport must wrap its connections with Guard and use
// HTTP/1.1.
//
// The call's deadline limits the wait for the response header; the body may take longer.
// The error is a *port.Refusal if no byte was written, and a *port.UnknownOutcome
// otherwise.
func RoundTrip(ctx context.Context, transport http.RoundTripper, base string, call *port.Call, extra http.Header) (*http.Response, error) {
	senderCtx := ctx
	a := &attempt{deadline: call.Deadline, senderClosed: func() bool { return senderClosed(senderCtx) }}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(call.Deadline), func() { cancel(errNoResponse) })
	request, err := newRequest(httptrace.WithClientTrace(ctx, a.trace()), base, call, extra)
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, port.Refuse(port.ReasonBadRequest, 0, "%v", err)
	}
	response, err := transport.RoundTrip(request)
	timer.Stop()
	if err == nil && response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		err = errProtocolChange
	}
	if err == nil {
		a.recordResponse()
		response.Body = &responseBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	pastDeadline := context.Cause(ctx) == errNoResponse
	cancel(nil)
	return nil, a.outcome(err, pastDeadline)
}

// trace assigns each connection that net/http chooses for the request to the attempt.
// The transports used with RoundTrip open only guarded connections.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.assign(a)
		}
	}}
}

// outcome returns the outcome of a failed attempt: a refusal if nothing was written, and
// an unknown outcome otherwise.
func (a *attempt) outcome(err error, pastDeadline bool) error {
	wrote, expired := a.end()
	switch {
	case wrote && pastDeadline:
		return &port.UnknownOutcome{Stage: stageDeadline, Cause: errNoResponse}
	case wrote:
		return &port.UnknownOutcome{Stage: stageResponse, Cause: err}
	case expired || pastDeadline:
		return port.Refuse(port.ReasonDeadline, retryUnreachable, "the deadline passed, or the caller was gone, before the request was sent")
	}
	return port.Refuse(port.ReasonUnreachable, retryUnreachable, "%v", err)
}

// responseBody cancels the request's context when it is closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.cancel(nil)
	return b.ReadCloser.Close()
}

// nopCloseBody prevents net/http from closing the call's body, which the caller of
// RoundTrip owns.
type nopCloseBody struct{ io.Reader }

func (nopCloseBody) Close() error { return nil }

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
		request.Body = nopCloseBody{call.Body}
		request.ContentLength = call.ContentLength
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil
	}
	return request, nil
}
