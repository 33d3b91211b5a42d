// Package peerforward carries calls from an entry node to the owner node of a
// target. It uses HTTP/1.1 over mutual TLS in place of the WebSocket that
// carries control messages: bodies of any size then have their own connection,
// with the transport's own flow control and cancellation.
package peerforward

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

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
	// maxIdle bounds the idle connections to all peers together: at the size
	// to design for a node has 1,599 peers, and TLS state costs memory.
	maxIdle     = 512
	idleTimeout = 30 * time.Second
	// dialTimeout bounds connection and handshake. Between regions they take
	// two round trips, some 80 ms. The kernel of a VM whose process is paused
	// still accepts connections: a longer wait would use up the deadline of a
	// request that another target could have served.
	dialTimeout = 500 * time.Millisecond
)

// NewClient returns a forwarder that proves itself with the identity.
func NewClient(identity *peertls.Config, now func() time.Time) *Client {
	return &Client{
		now: now,
		transport: &http.Transport{
			DialTLSContext:      dialer(identity.Client),
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// dialer opens guarded connections. The handshake is made here, below the
// guard, so that only bytes of requests count as written.
func dialer(config *tls.Config) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: config}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return callhttp.Guard(conn), nil
	}
}

// Forward implements port.Forwarder.
func (c *Client) Forward(ctx context.Context, to membership.VM, call *port.Call) (*port.Response, error) {
	response, err := callhttp.RoundTrip(ctx, c.transport, "https://"+to.PeerAddress+Prefix, call, c.headers(call))
	if err != nil {
		return nil, err
	}
	if err := callhttp.ReadError(response); err != nil {
		return nil, err
	}
	// Answers are matched by id: one that belongs to another request, late on
	// a reused connection, would give a caller someone else's return.
	if id := response.Header.Get(callhttp.HeaderRequestID); id != call.ID {
		response.Body.Close()
		return nil, &port.UnknownOutcome{Stage: "owner", Cause: errors.Errorf("the owner answered request %q", id)}
	}
	return &port.Response{
		Status: response.StatusCode, Header: response.Header,
		ContentLength: response.ContentLength, Body: response.Body, Owner: to.ID,
	}, nil
}

func (c *Client) headers(call *port.Call) http.Header {
	return http.Header{
		callhttp.HeaderRequestID: {call.ID},
		headerTerms:              {encodeTerms(call, c.now())},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
