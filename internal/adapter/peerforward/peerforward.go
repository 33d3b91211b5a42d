// Package peerforward carries calls from an entry node to the owner node of a
// target. It uses HTTP/1.1 over mutual TLS in place of the WebSocket that
// carries control messages: bodies of any size then have their own connection,
// with the transport's own flow control and cancellation.
package peerforward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// Prefix comes before the caller's path on the peers' listener.
const Prefix = "/peer/call"

// Client implements port.Forwarder.
type Client struct {
	transport *http.Transport
	now       func() time.Time
}

var _ port.Forwarder = (*Client)(nil)

const (
	maxIdlePerPeer = 32
	idleTimeout    = 90 * time.Second
)

// NewClient returns a forwarder that proves itself with the TLS configuration.
func NewClient(tls *peertls.Config, now func() time.Time) *Client {
	return &Client{
		now: now,
		transport: &http.Transport{
			TLSClientConfig:     tls.Client,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Forward implements port.Forwarder.
func (c *Client) Forward(ctx context.Context, to membership.VM, call *port.Call) (*port.Answer, error) {
	response, err := callhttp.RoundTrip(ctx, c.transport, "https://"+to.PeerAddress+Prefix, call, c.headers(call))
	if err != nil {
		return nil, err
	}
	if err := callhttp.ReadError(response); err != nil {
		return nil, err
	}
	return &port.Answer{
		Status: response.StatusCode, Header: response.Header,
		ContentLength: response.ContentLength, Body: response.Body, Owner: to.ID,
	}, nil
}

func (c *Client) headers(call *port.Call) http.Header {
	return http.Header{
		callhttp.HeaderRequestID: {call.ID},
		callhttp.HeaderCustomer:  {call.Customer},
		callhttp.HeaderRoute:     {call.Route},
		callhttp.HeaderService:   {call.Service},
		callhttp.HeaderVersion:   {call.Version.String()},
		// What is left of the deadline travels, not the deadline itself: the
		// VMs' clocks need not agree.
		callhttp.HeaderBudget: {formatMillis(call.Deadline.Sub(c.now()))},
		callhttp.HeaderStall:  {formatMillis(call.Stall)},
	}
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
