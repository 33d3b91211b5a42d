package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"tamarackquay/internal/adapter/callhttp"
)

// drainTimeout is how long a client may take to send the rest of a body that no handler reads. http.Server
// reads up to 256 KB of it before it sends a short response, so that the connection can be used again.
const drainTimeout = 5 * time.Second

type connKey struct{}

// connContext stores the connection in the context of its requests.
func connContext(ctx context.Context, netConn net.Conn) context.Context {
	ctx = callhttp.ConnContext(ctx, netConn)
	if c := trackedConn(netConn); c != nil {
		ctx = context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// drainBodies returns a handler whose requests don't keep their connections if their bodies don't come.
func drainBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hasBody := r.ContentLength != 0
		handler.ServeHTTP(w, r)
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && hasBody {
			c.drain()
		}
	})
}

// drain limits the time for the rest of a body after its request was handled. Meanwhile, the connection waits
// for its client.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active || c.ended {
		return
	}
	now := time.Now()
	c.draining = true
	// An earlier deadline may have been set for the body; it has passed or doesn't matter any more. This
	// fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(now.Add(drainTimeout))
	c.client.Wait(now)
}
