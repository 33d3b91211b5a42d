package httpserver

import (
	"io"
	"net"
	"net/http"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// passInvalid reports whether a request whose end is not certain has been read. What follows could be a
// part of it and is discarded. The error ends the connection, once that request is handled; until then,
// only an error of the connection ends those before it.
func (c *conn) passInvalid() (bool, error) {
	c.mu.Lock()
	invalid, before := c.invalid, c.handled < c.invalidAt
	c.mu.Unlock()
	if invalid == nil {
		return false, nil
	}
	if before {
		_, err := io.Copy(io.Discard, c.Conn)
		if err == nil {
			err = io.EOF
		}
		return true, err
	}
	return true, &net.OpError{Op: "read", Net: "tcp", Err: invalid}
}

func (c *conn) isInvalid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid != nil
}

// follow follows the requests in bytes that were read, with the error of the read. It returns how many of
// the bytes http.Server may read.
func (c *conn) follow(p []byte, err error) (int, error) {
	if c.server.tls != nil {
		// Only nodes with a certificate send requests.
		return len(p), err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hijacked {
		return len(p), err
	}
	count, invalid := c.frames.Scan(p)
	if invalid == nil {
		return count, err
	}
	c.invalid, c.invalidAt = invalid, c.frames.Requests()
	if count > 0 {
		return count, nil
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: invalid}
}

// begin counts a request that the handler gets, and returns the error of its framing.
func (c *conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled++
	if c.handled == c.invalidAt {
		return c.invalid
	}
	return nil
}

// refuseInvalid returns a handler that refuses requests whose end is not certain, and closes their
// connections (RFC 9112, section 6.1).
func (s *Server) refuseInvalid(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if err := c.begin(); err != nil {
				refusal := port.Refuse(port.ReasonBadRequest, 0, "%v", err)
				if s.Invalid != nil {
					s.Invalid(r, refusal)
				}
				w.Header().Set("Connection", "close")
				callhttp.WriteError(w, refusal)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}
