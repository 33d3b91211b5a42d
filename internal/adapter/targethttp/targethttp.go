// Package targethttp runs calls on the VM's own target over HTTP.
package targethttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

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
	idleTimeout = 90 * time.Second
)

// New returns the target at address, an IP:port, with at most maxConnections
// connections to it.
func New(address string, maxConnections int) *Target {
	return &Target{
		address: address,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Do implements port.Target.
func (t *Target) Do(ctx context.Context, call *port.Call) (*port.Answer, error) {
	extra := http.Header{callhttp.HeaderRequestID: {call.ID}}
	response, err := callhttp.RoundTrip(ctx, t.transport, "http://"+t.address, call, extra)
	if err != nil {
		return nil, err
	}
	if response.Header.Get(shedHeader) == shedNotRun {
		response.Body.Close()
		return nil, port.Refuse(port.ReasonShed, callhttp.RetryAfter(response.Header), "the target shed the request before running it")
	}
	return &port.Answer{
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

var _ io.Closer = (*Target)(nil)

// Close drops idle connections.
func (t *Target) Close() error {
	t.transport.CloseIdleConnections()
	return nil
}
