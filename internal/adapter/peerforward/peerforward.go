// Package peerforward forwards calls from an entry node to the owner node of a target. It
// uses HTTP/1.1 over mutual TLS instead of the WebSocket for control messages, so that
// bodies of any size have their own connection, with the flow control and cancellation of
// the transport.
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

// Prefix is prepended to the caller's path in requests to the peers' listener.
const Prefix = "/peer/call"

// Client implements port.Forwarder.
type Client struct {
	transport *http.Transport
	now       func() time.Time
}

var _ port.Forwarder = (*Client)(nil)

const (
	maxIdlePerPeer = 32
	// maxIdle limits the idle connections to all peers together. At the design size
	// of the fleet a node has 1,599 peers, and TLS state uses memory.
	maxIdle     = 512
	idleTimeout = 30 * time.Second
	// dialTimeout limits the time for connecting and the TLS handshake, which
	// between regions take two round trips, about 80 ms. The kernel of a VM whose
	// process is paused still accepts connections; a longer timeout would use up the
	// deadline of a request that another target could have served.
	dialTimeout = 500 * time.Millisecond
)

// NewClient returns a client that authenticates itself with the TLS configuration.
func NewClient(tlsConfig *peertls.Config, now func() time.Time) *Client {
	return &Client{
		now: now,
		transport: &http.Transport{
			DialTLSContext:      dialer(tlsConfig.Client),
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			// The owner node adds headers to those of the target.
			MaxResponseHeaderBytes: 2 * callhttp.MaxResponseHeaderBytes,
		},
	}
}

// dialer returns a function that opens guarded connections. The TLS handshake is done
// below the guard, so that only bytes of requests count as written.
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
	// Responses are matched by id. Otherwise a late response to another request on a
	// reused connection would be given to the wrong caller.
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
		headerMeta:               {encodeMeta(call, c.now())},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
