// Package targethttp runs calls on the local target over HTTP.
package targethttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// Target implements port.Target.
type Target struct {
	address   string
	transport *http.Transport
}

var _ port.Target = (*Target)(nil)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is shorter than the 5 s after which common servers close an idle
	// connection: a request sent while the target closes the connection has an
	// unknown outcome.
	idleTimeout = 4 * time.Second
	// minBudget is the minimum remaining time with which a call is sent. It is the unit of
	// callhttp.HeaderBudget, so no target receives a request without any time left.
	minBudget = time.Millisecond
	// retryExpired is the Retry-After of a call that had less time left.
	retryExpired = time.Second
)

// New returns the target at address (IP:port). At most maxConnections connections to it
// are opened.
func New(address string, maxConnections int) *Target {
	return &Target{
		address: address,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: callhttp.MaxResponseHeaderBytes,
		},
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return callhttp.Guard(conn), nil
}

// Do implements port.Target. It refuses a call with less than minBudget left.
func (t *Target) Do(ctx context.Context, call *port.Call) (*port.Response, error) {
	left := time.Until(call.Deadline)
	if left < minBudget {
		return nil, port.Refuse(port.ReasonDeadline, retryExpired, "the deadline passed before the target took the request")
	}
	// The target sends the remaining time and the chain to its own node with the
	// calls that it makes while it runs this one.
	extra := http.Header{
		callhttp.HeaderRequestID: {call.ID},
		callhttp.HeaderBudget:    {callhttp.FormatMillis(left)},
		callhttp.HeaderStartBy:   {callhttp.FormatStartBy(call.Deadline)},
	}
	callhttp.SetChain(extra, append(slices.Clone(call.Chain), call.Service))
	response, err := callhttp.RoundTrip(ctx, t.transport, "http://"+t.address, call, extra)
	if err != nil {
		return nil, err
	}
	if response.Header.Get(shedHeader) == shedNotRun {
		response.Body.Close()
		return nil, port.Refuse(port.ReasonShed, callhttp.RetryAfter(response.Header), "the target shed the request before running it")
	}
	if err := checkResponse(call, response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return &port.Response{
		Status: response.StatusCode, Header: response.Header,
		ContentLength: response.ContentLength, Body: response.Body,
	}, nil
}

// A target that sheds a request before running it sets this header. The status code alone
// would not prove that nothing ran.
const (
	shedHeader = "Target-Shed"
	shedNotRun = "not-run"
)

// checkResponse rejects responses that belong to another request or whose completeness
// can't be verified. If the end of the connection marks the end of the body, a response
// that is cut off because the target is killed looks complete, and a caller would accept
// half a log as the complete one. If the response contains a request id, it must be that
// of the call.
func checkResponse(call *port.Call, response *http.Response) error {
	if id := response.Header.Get(callhttp.HeaderRequestID); id != "" && id != call.ID {
		return &port.UnknownOutcome{Stage: "answer", Cause: errors.Errorf("the target answered request %s", id)}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && call.Method != http.MethodHead {
		return &port.UnknownOutcome{Stage: "answer", Cause: errors.New("the answer has neither a length nor chunks, so its end can't be known")}
	}
	return nil
}

var _ io.Closer = (*Target)(nil)

// Close closes idle connections.
func (t *Target) Close() error {
	t.transport.CloseIdleConnections()
	return nil
}
