// Package targethttp runs calls on the VM's own target over HTTP.
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
	// idleTimeout is below the 5 s after which common servers close an idle
	// connection: a request that meets such a close has an unknown outcome.
	idleTimeout = 4 * time.Second
)

// New returns the target at address, an IP:port, with at most maxConnections
// connections to it.
func New(address string, maxConnections int) *Target {
	return &Target{
		address: address,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
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

// Do implements port.Target.
func (t *Target) Do(ctx context.Context, call *port.Call) (*port.Response, error) {
	// What is left of the deadline, and the chain of the calls that the target
	// makes for this one: it passes both on to its own node.
	extra := http.Header{
		callhttp.HeaderRequestID: {call.ID},
		callhttp.HeaderBudget:    {callhttp.FormatMillis(time.Until(call.Deadline))},
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
	if err := checkAnswer(call, response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return &port.Response{
		Status: response.StatusCode, Header: response.Header,
		ContentLength: response.ContentLength, Body: response.Body,
	}, nil
}

// A target that sheds load before running a request says so in this header;
// its status alone would not prove that nothing ran.
const (
	shedHeader = "Target-Shed"
	shedNotRun = "not-run"
)

// checkAnswer refuses answers that can't be told to be whole and this call's
// own. A body that ends with its connection looks whole when the target is
// killed in the middle, so a caller would take half a log for all of it. A
// target that names the request it answers must name this one.
func checkAnswer(call *port.Call, response *http.Response) error {
	if id := response.Header.Get(callhttp.HeaderRequestID); id != "" && id != call.ID {
		return &port.UnknownOutcome{Stage: "answer", Cause: errors.Errorf("the target answered request %s", id)}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && call.Method != http.MethodHead {
		return &port.UnknownOutcome{Stage: "answer", Cause: errors.New("the answer has neither a length nor chunks, so its end can't be known")}
	}
	return nil
}

var _ io.Closer = (*Target)(nil)

// Close drops idle connections.
func (t *Target) Close() error {
	t.transport.CloseIdleConnections()
	return nil
}
